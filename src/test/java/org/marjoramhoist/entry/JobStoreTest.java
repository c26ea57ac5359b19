package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramhoist.dispatch.DispatchEvent;
import org.marjoramhoist.dispatch.JournalBatch;
import org.marjoramhoist.dispatch.StoredJob;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobFeature;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.StepSpec;
import org.marjoramhoist.platform.KeyValueClient;
import org.marjoramhoist.platform.KeyValueClient.Put;

/** A leader's start on the stored jobs, against an in-process store stand-in. */
class JobStoreTest extends StoreFixture {

  private static final long WAIT_MILLIS = 5_000;
  private static final String LAST_WRITE_KEY = JobRecords.ROOT + "writer/0";

  private final BlockingQueue<DispatchEvent> events = new LinkedBlockingQueue<>();
  private final StoreHealth health = new StoreHealth();

  private JobStore startStore() throws Exception {
    Put leader = new Put(HostRegistration.LEADER, "{}", 0);
    long term = client.txn(List.of(), List.of(leader), List.of()).get().revision();
    JobStore jobs = new JobStore(term, client, health, loop, events::add, reason -> {});
    loop.execute(jobs::start);
    return jobs;
  }

  private DispatchEvent nextEvent() throws InterruptedException {
    return events.poll(WAIT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void assertJobsAreLoaded() throws Exception {
    startStore();
    assertThat(nextEvent()).isInstanceOf(DispatchEvent.JobsLoaded.class);
  }

  @Test
  void jobsAreLoadedByFirstLeader() throws Exception {
    assertJobsAreLoaded();
  }

  /** Another writer left it; no durable job would be accepted or continued again. */
  @ParameterizedTest
  @ValueSource(strings = {"", "odd", "1", "1 x 3", "99999999999999999999 1 1"})
  void oddLastWriteLeavesJobsLoadable(String odd) throws Exception {
    store.put(LAST_WRITE_KEY, odd);
    assertJobsAreLoaded();
  }

  @Test
  void jobsOfSeveralPagesAreLoaded() throws Exception {
    int count = 1_200;
    for (int i = 0; i < count; i++) {
      String id = String.format(Locale.ROOT, "%016x", i);
      JournalBatch one = batch(1, "p");
      Put put = JobRecords.puts(one).get(0);
      String value = put.value().replace("00000000000000aa", id);
      store.put(JobRecords.RECORDS + id, value);
    }
    startStore();
    DispatchEvent.JobsLoaded loaded = (DispatchEvent.JobsLoaded) nextEvent();
    assertThat(loaded.open().stream().map(each -> each.record().job().id()).distinct().count())
        .isEqualTo(count);
    // Jobs of a class hold one copy of it.
    assertThat(loaded.open().get(1).record().requestClass())
        .isSameInstanceAs(loaded.open().get(0).record().requestClass());
  }

  private static JournalBatch batch(long number, String payload) {
    RequestClass requestClass =
        new RequestClass("check", "h", "/p/", "reviews", 0, 3, 1.6, 60, false);
    StepSpec step = new StepSpec(1, new Resources(1_000, 1, 0), 50, List.of(), "", "", 0);
    JobDescription job =
        new JobDescription(
            new JobId("00000000000000aa"), payload, List.of(step), Set.of(JobFeature.DURABLE));
    StoredJob record = new StoredJob(job, requestClass, 10_000);
    return new JournalBatch(number, List.of(record), Map.of(), List.of());
  }

  /** It was taken for an outage and written again for ever, before anything else of any job. */
  @ParameterizedTest
  @ValueSource(ints = {400, 413, 422})
  void refusalOfContentIsNoOutage(int status) throws Exception {
    JobStore jobs = startStore();
    assertThat(nextEvent()).isInstanceOf(DispatchEvent.JobsLoaded.class);
    store.refuseValuesThatContain("odd", status);
    loop.execute(() -> jobs.write(batch(1, "odd")));
    assertThat(nextEvent())
        .isEqualTo(new DispatchEvent.BatchRefused(1, "the store returned status " + status));
    assertThat(health.isAvailable()).isTrue();
    loop.execute(() -> jobs.write(batch(2, "plain")));
    assertThat(nextEvent()).isEqualTo(new DispatchEvent.BatchStored(2));
  }

  /** A store may end the connection over a body that is too long, which looks like an outage. */
  @Test
  void valueThatIsTooLongIsNotSent() throws Exception {
    JobStore jobs = startStore();
    assertThat(nextEvent()).isInstanceOf(DispatchEvent.JobsLoaded.class);
    store.setDown(true);
    loop.execute(() -> jobs.write(batch(1, "x".repeat(KeyValueClient.MAX_VALUE_BYTES))));
    assertThat(nextEvent()).isInstanceOf(DispatchEvent.BatchRefused.class);
  }
}
