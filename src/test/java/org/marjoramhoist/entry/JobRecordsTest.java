package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramhoist.dispatch.DispatchEvent.LoadedJob;
import org.marjoramhoist.dispatch.JobProgress;
import org.marjoramhoist.dispatch.JournalBatch;
import org.marjoramhoist.dispatch.NumberSet;
import org.marjoramhoist.dispatch.StoredJob;
import org.marjoramhoist.dispatch.WorkerLoss;
import org.marjoramhoist.dispatch.WorkerLoss.Evidence;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobFeature;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.StepSpec;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.json.Utf8;
import org.marjoramhoist.platform.JobBodies;
import org.marjoramhoist.platform.KeyValueClient.Item;

/** Reading stored jobs. */
class JobRecordsTest {

  /** The platform's limit for a value of its store. */
  private static final int MAX_VALUE_BYTES = 1 << 20;

  private static final JobId ID = new JobId("00000000000000aa");
  private static final RequestClass CLASS =
      new RequestClass("check", "h", "/p/", "reviews", 0, 3, 1.6, 60, false);
  private static final StepSpec STEP =
      new StepSpec(2, new Resources(1_000, 1, 0), 50, List.of(), "", "", 0);
  private static final StoredJob RECORD =
      new StoredJob(
          new JobDescription(ID, "p", List.of(STEP), Set.of(JobFeature.DURABLE)), CLASS, 10_000);
  private static final JobProgress PROGRESS =
      new JobProgress(JobStatus.RUNNING, List.of(new JobProgress.DoneTasks(0, 1)), List.of(), 0);

  private static List<Item> items(JournalBatch batch) {
    return JobRecords.puts(batch).stream().map(put -> new Item(put.key(), put.value(), 1)).toList();
  }

  private static LoadedJob read(List<Item> progress) {
    List<Item> records = items(new JournalBatch(1, List.of(RECORD), Map.of(), List.of()));
    List<LoadedJob> jobs = StoredJobReads.open(records, progress);
    assertThat(jobs).hasSize(1);
    return jobs.get(0);
  }

  @Test
  void readsWhatWasStored() {
    assertThat(read(List.of())).isEqualTo(new LoadedJob(RECORD, Optional.empty()));
    List<Item> progress = items(new JournalBatch(2, List.of(), Map.of(ID, PROGRESS), List.of()));
    assertThat(read(progress)).isEqualTo(new LoadedJob(RECORD, Optional.of(PROGRESS)));
  }

  @Test
  void readsLossesAndProgressOfEarlierVersionsWithoutThem() {
    WorkerLoss loss = new WorkerLoss(65, "w", true, false, WorkerLoss.Evidence.CRASHED);
    JobProgress progress =
        new JobProgress(
            JobStatus.RUNNING,
            PROGRESS.done(),
            List.of(),
            0,
            List.of(new JobProgress.LostRuns(0, 1, loss)));
    List<Item> stored = items(new JournalBatch(2, List.of(), Map.of(ID, progress), List.of()));
    assertThat(read(stored)).isEqualTo(new LoadedJob(RECORD, Optional.of(progress)));
    String earlier =
        "{\"status\":\"RUNNING\",\"done\":[{\"step\":0,\"index\":1}],"
            + "\"failed\":[],\"endedMillis\":0}";
    assertThat(read(List.of(new Item(JobRecords.PROGRESS + ID, earlier, 1))))
        .isEqualTo(new LoadedJob(RECORD, Optional.of(PROGRESS)));
    assertThat(items(new JournalBatch(2, List.of(), Map.of(ID, PROGRESS), List.of())).get(0))
        .isEqualTo(new Item(JobRecords.PROGRESS + ID, earlier, 1));
  }

  /** A value that the store refuses was written again and again, so nothing was stored any more. */
  @ParameterizedTest
  @ValueSource(ints = {2, 3, 20})
  void progressOfLargestJobFitsIntoOneValue(int failedRuns) {
    List<JobProgress.DoneTasks> done = new ArrayList<>();
    List<JobProgress.FailedRuns> failed = new ArrayList<>();
    for (int i = 0; i < JobBodies.MAX_TASKS; i++) {
      done.add(new JobProgress.DoneTasks(999, i));
      for (int run = 0; run < failedRuns; run++) {
        failed.add(new JobProgress.FailedRuns(999, i, 1_000 + run));
      }
    }
    JobProgress progress = new JobProgress(JobStatus.RUNNING, done, failed, 0);
    assertThat(sizeOf(progress)).isAtMost(MAX_VALUE_BYTES);
    // Tasks that have the same behind them are written once.
    assertThat(progress.done()).hasSize(1);
    assertThat(progress.failed()).hasSize(1);
  }

  /** The same with tasks of which no two neighbours have the same runs behind them. */
  @Test
  void progressOfLargestJobFitsIntoOneValueIfNeighboursDiffer() throws Exception {
    List<JobProgress.DoneTasks> done = new ArrayList<>();
    List<JobProgress.FailedRuns> failed = new ArrayList<>();
    List<JobProgress.LostRuns> lost = new ArrayList<>();
    for (int i = 0; i < JobBodies.MAX_TASKS; i++) {
      if (i % 2 == 0) {
        done.add(new JobProgress.DoneTasks(999, i));
      }
      for (int run = 0; run < 20; run++) {
        if ((i * 31 + run * 7) % 5 != 0) {
          failed.add(new JobProgress.FailedRuns(999, i, 1_000 + run));
        }
      }
      WorkerLoss loss =
          new WorkerLoss(1_020 + i % 3, "server-" + i % 100, false, i % 2 == 1, Evidence.CRASHED);
      lost.add(new JobProgress.LostRuns(999, i, loss));
    }
    JobProgress progress = new JobProgress(JobStatus.RUNNING, done, failed, 0, lost);
    assertThat(sizeOf(progress)).isAtMost(MAX_VALUE_BYTES);
    String value = valueOf(progress);
    assertThat(JsonText.MAPPER.readValue(value, JobProgress.class)).isEqualTo(progress);
  }

  @Test
  void readsProgressOfEarlierVersions() {
    String earlier =
        "{\"status\":\"RUNNING\",\"done\":[{\"step\":0,\"index\":0}],\"failed\":["
            + "{\"step\":0,\"index\":1,\"run\":65},{\"step\":0,\"index\":1,\"run\":66}],"
            + "\"endedMillis\":0,\"lost\":[{\"step\":0,\"index\":1,\"loss\":{\"run\":67,"
            + "\"worker\":\"w\",\"exclusive\":true,\"latest\":false,\"evidence\":\"CRASHED\"}}]}";
    JobProgress progress =
        read(List.of(new Item(JobRecords.PROGRESS + ID, earlier, 1))).progress().orElseThrow();
    assertThat(progress.done()).containsExactly(new JobProgress.DoneTasks(0, 0));
    assertThat(progress.failed())
        .containsExactly(new JobProgress.FailedRuns(0, NumberSet.of(1), NumberSet.parse("65-66")));
    assertThat(progress.lost())
        .containsExactly(
            new JobProgress.LostRuns(0, 1, new WorkerLoss(67, "w", true, false, Evidence.CRASHED)));
  }

  private static String valueOf(JobProgress progress) {
    JournalBatch batch = new JournalBatch(2, List.of(), Map.of(ID, progress), List.of());
    return JobRecords.puts(batch).get(0).value();
  }

  private static int sizeOf(JobProgress progress) {
    return Utf8.lengthOf(valueOf(progress));
  }

  @Test
  void invalidProgressIsNotTreatedAsMissing() {
    for (String value : List.of("", "null", "{\"done\":7}", "not json")) {
      LoadedJob job = read(List.of(new Item(JobRecords.PROGRESS + ID, value, 1)));
      assertThat(job.progressReadable()).isFalse();
    }
  }
}
