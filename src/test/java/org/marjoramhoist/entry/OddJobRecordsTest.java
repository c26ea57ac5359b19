package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramhoist.dispatch.DispatchAction;
import org.marjoramhoist.dispatch.DispatchEvent;
import org.marjoramhoist.dispatch.DispatchEvent.LoadedJob;
import org.marjoramhoist.dispatch.DispatchPolicy;
import org.marjoramhoist.dispatch.Dispatcher;
import org.marjoramhoist.dispatch.JobCallKind;
import org.marjoramhoist.dispatch.JobProgress;
import org.marjoramhoist.dispatch.StoredJob;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobFeature;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.StepSpec;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.platform.KeyValueClient.Item;

/** Stored jobs among which another writer left an odd one. */
class OddJobRecordsTest {

  private static final DispatchPolicy POLICY = new DispatchPolicy(980, 1.5, 250, 120_000);
  private static final RequestClass CLASS =
      new RequestClass("check", "h", "/p/", "reviews", 0, 3, 1.6, 60, false);
  private static final StepSpec STEP =
      new StepSpec(2, new Resources(1_000, 1, 0), 50, List.of(), "", "", 0);
  private static final JobId GOOD = new JobId("00000000000000aa");
  private static final JobId ODD = new JobId("00000000000000bb");
  private static final long NOW = 10_000_000;

  private static StoredJob job(JobId id) {
    return new StoredJob(
        new JobDescription(id, "p", List.of(STEP), Set.of(JobFeature.DURABLE)), CLASS, 10_000);
  }

  private static Item record(JobId id, String value) {
    return new Item(JobRecords.RECORDS + id, value, 1);
  }

  private static Item progress(JobId id, String value) {
    return new Item(JobRecords.PROGRESS + id, value, 1);
  }

  /** Returns the status of the good job after the items were loaded. */
  private static JobStatus statusAfterLoading(List<Item> records, List<Item> progress) {
    Dispatcher dispatcher = new Dispatcher(POLICY, NOW, NOW, 0);
    dispatcher.step(NOW, new DispatchEvent.RosterLoaded(List.of()));
    List<LoadedJob> jobs = StoredJobReads.open(records, progress);
    dispatcher.step(NOW, new DispatchEvent.JobsLoaded(1, jobs, List.of()));
    dispatcher.step(NOW + 10_000, new DispatchEvent.Tick());
    DispatchEvent query =
        new DispatchEvent.JobCallReceived(JobCallKind.STATUS, GOOD, null, "host", 1, NOW);
    return dispatcher.step(NOW + 10_000, query).stream()
        .filter(DispatchAction.Reply.class::isInstance)
        .map(action -> ((DispatchAction.Reply) action).status())
        .findFirst()
        .orElseThrow();
  }

  static Stream<String> oddRecords() {
    String good = JsonText.of(job(ODD));
    return Stream.of(
        "",
        "null",
        "7",
        "[]",
        "{}",
        "{",
        "[".repeat(60_000),
        good.replace("\"id\":\"" + ODD + "\"", "\"id\":null"),
        good.replace("\"id\":\"" + ODD + "\"", "\"id\":\"odd\""),
        good.replace("\"id\":\"" + ODD + "\"", "\"id\":\"" + GOOD + "\""),
        good.replace("\"count\":2", "\"count\":-1"),
        good.replace("\"count\":2", "\"count\":2000000000"),
        good.replace("\"count\":2", "\"count\":99999999999999999999999999"),
        good.replace("\"after\":[]", "\"after\":[7]"),
        good.replace("\"after\":[]", "\"after\":[-1]"),
        good.replace("\"after\":[]", "\"after\":[0]"),
        good.replace("\"after\":[]", "\"after\":[null]"),
        good.replace("\"after\":[]", "\"after\":null"),
        good.replaceFirst("\"need\":\\{[^}]*}", "\"need\":null"),
        good.replaceFirst("\"cpuMillis\":\\d+", "\"cpuMillis\":9223372036854775807"),
        good.replaceFirst("\"cpuMillis\":\\d+", "\"cpuMillis\":-1"),
        good.replaceFirst("\"steps\":\\[.*?\\}\\]", "\"steps\":[]"),
        good.replaceFirst("\"steps\":\\[.*?\\}\\]", "\"steps\":[null]"),
        good.replace("\"payload\":\"p\"", "\"payload\":null"),
        good.replaceFirst("\"requestClass\":\\{[^}]*}", "\"requestClass\":null"),
        good.replace("\"upstream\":\"reviews\"", "\"upstream\":null"),
        good.replace("\"name\":\"check\"", "\"name\":null"),
        good.replace("\"acceptedMillis\":10000", "\"acceptedMillis\":9223372036854775807"),
        good.replace("\"acceptedMillis\":10000", "\"acceptedMillis\":1e400"));
  }

  @ParameterizedTest
  @MethodSource("oddRecords")
  void oddRecordLeavesOtherJobsOpen(String odd) {
    List<Item> records = List.of(record(ODD, odd), record(GOOD, JsonText.of(job(GOOD))));
    assertThat(statusAfterLoading(records, List.of()).isTerminal()).isFalse();
  }

  /** Guards against a stored job that would be run with another text than it holds. */
  @ParameterizedTest
  @ValueSource(strings = {"payload\":\"", "preferredRack\":\"", "requiredLabel\":\""})
  void recordWithTextThatUtf8CannotHoldIsLeftOut(String field) {
    String odd = JsonText.of(job(ODD)).replace(field, field + "\\ud83d");
    List<Item> records = List.of(record(ODD, odd), record(GOOD, JsonText.of(job(GOOD))));
    assertThat(StoredJobReads.open(records, List.of())).hasSize(1);
    assertThat(statusAfterLoading(records, List.of()).isTerminal()).isFalse();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "null",
        "7",
        "[]",
        "{}",
        "{\"status\":null,\"done\":[],\"failed\":[],\"endedMillis\":0}",
        "{\"status\":\"ODD\",\"done\":[],\"failed\":[],\"endedMillis\":0}",
        "{\"status\":\"RUNNING\",\"done\":[{\"step\":9,\"index\":0}],\"failed\":[]}",
        "{\"status\":\"RUNNING\",\"done\":[{\"step\":0,\"index\":-1}],\"failed\":[]}",
        "{\"status\":\"RUNNING\",\"done\":[null],\"failed\":[]}",
        "{\"status\":\"RUNNING\",\"done\":[],\"failed\":[{\"step\":0,\"index\":77,\"run\":1}]}",
        "{\"status\":\"RUNNING\",\"done\":[],\"failed\":[],\"lost\":[{\"step\":0,\"index\":1}]}",
        "{\"status\":\"RUNNING\",\"done\":[],\"failed\":[],\"lost\":[{\"step\":5,\"index\":1,"
            + "\"loss\":{\"run\":1,\"worker\":\"w\",\"evidence\":\"CRASHED\"}}]}"
      })
  void oddProgressLeavesOtherJobsOpen(String odd) {
    List<Item> records =
        List.of(record(ODD, JsonText.of(job(ODD))), record(GOOD, JsonText.of(job(GOOD))));
    JobProgress good = new JobProgress(JobStatus.RUNNING, List.of(), List.of(), 0);
    List<Item> progress = List.of(progress(ODD, odd), progress(GOOD, JsonText.of(good)));
    assertThat(statusAfterLoading(records, progress).isTerminal()).isFalse();
    assertThat(StoredJobReads.open(records, progress)).hasSize(2);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "null", "SUCCEEDED", "SUCCEEDED x", "ODD 5", "SUCCEEDED 1e400", " "})
  void oddEndIsLeftOut(String odd) {
    Map<String, String> values = Map.of(ODD.value(), odd, GOOD.value(), "SUCCEEDED 5", "x", "y 5");
    List<Item> items =
        values.entrySet().stream()
            .map(each -> new Item(JobRecords.ENDED + each.getKey(), each.getValue(), 1))
            .toList();
    assertThat(StoredJobReads.ended(items))
        .containsExactly(new DispatchEvent.EndedJob(GOOD, JobStatus.SUCCEEDED, 5));
  }
}
