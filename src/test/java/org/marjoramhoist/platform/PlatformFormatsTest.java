package org.marjoramhoist.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.dispatch.WorkerReport;
import org.marjoramhoist.dispatch.WorkerReport.RunOutcome;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobFeature;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.RouteTable;
import org.marjoramhoist.job.RunRef;
import org.marjoramhoist.job.StepSpec;
import org.marjoramhoist.job.TaskRef;
import org.marjoramhoist.model.RequestLimits;

/** Tests the parsing of the platform's message formats. */
class PlatformFormatsTest {

  private static final JobId ID = new JobId("5c0e7a21d94b36f8");

  private static JobDescription parse(String body) throws IOException {
    return JobBodies.parseJob(ID, body.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void parsesJobWithSteps() throws IOException {
    JobDescription job =
        parse(
            "{\"spec\":\"a\\\"b\",\"steps\":[{\"count\":4,\"cpu\":500,\"memMb\":256,"
                + "\"estimateMs\":900,\"preferredRack\":\"r1-3\"},{\"count\":20,\"after\":[0],"
                + "\"requiredLabel\":\"b\",\"maxPerServer\":2,\"gpu\":1}],\"bestEffort\":true}");
    StepSpec first = new StepSpec(4, new Resources(500, 256, 0), 900, List.of(), "", "r1-3", 0);
    StepSpec second = new StepSpec(20, new Resources(0, 0, 1), 0, List.of(0), "b", "", 2);
    assertThat(job.payload()).isEqualTo("a\"b");
    assertThat(job.steps()).containsExactly(first, second).inOrder();
    assertThat(job.unsupportedFeature()).isEmpty();
    assertThat(job.taskCount()).isEqualTo(24);
  }

  @Test
  void reportsUnsupportedFeature() throws IOException {
    assertThat(parse("{\"steps\":[{\"count\":1}]}").unsupportedFeature()).isEmpty();
    assertThat(
            parse("{\"bestEffort\":true,\"steps\":[{\"count\":1,\"gang\":true}]}")
                .unsupportedFeature())
        .hasValue(JobFeature.GANG);
    assertThat(
            parse("{\"bestEffort\":true,\"repeatCount\":3,\"steps\":[{\"count\":1}]}")
                .unsupportedFeature())
        .hasValue(JobFeature.OCCURRENCES);
    assertThat(
            parse("{\"bestEffort\":true,\"steps\":[{\"count\":1,\"longRunning\":true}]}")
                .unsupportedFeature())
        .hasValue(JobFeature.LONG_RUNNING);
  }

  @Test
  void rejectsInvalidJobs() {
    for (String body :
        List.of(
            "",
            "[]",
            "{}",
            "{\"steps\":[]}",
            "{\"steps\":[{}]}",
            "{\"steps\":[{\"count\":0}]}",
            "{\"steps\":[{\"count\":1,\"after\":[0]}]}",
            "{\"steps\":[{\"count\":200000}]}",
            "{\"steps\":[{\"count\":1,\"cpu\":-1}]}",
            "{\"steps\":[{\"count\":1,\"memMb\":-1}]}",
            "{\"steps\":[{\"count\":1,\"gpu\":-1}]}",
            "{\"steps\":[{\"count\":1,\"estimateMs\":-1}]}",
            "{\"steps\":[{\"count\":1,\"maxPerServer\":-1}]}",
            "{\"spec\":7,\"steps\":[{\"count\":1}]}",
            "{\"steps\":[{\"count\":1}")) {
      assertThrows(IOException.class, () -> parse(body), body);
    }
  }

  /** Guards against tasks that run with another spec, as what is sent on can't be the caller's. */
  @Test
  void rejectsTextThatUtf8CannotHold() throws IOException {
    for (String half : List.of("\\ud83d x", "\\udc00 x", "x \\ude00\\ud83d")) {
      for (String job :
          List.of(
              "{\"spec\":\"" + half + "\",\"steps\":[{\"count\":1}]}",
              "{\"steps\":[{\"count\":1,\"requiredLabel\":\"" + half + "\"}]}",
              "{\"steps\":[{\"count\":1,\"preferredRack\":\"" + half + "\"}]}")) {
        assertThrows(IOException.class, () -> parse(job), job);
      }
    }
    // The same half as bytes, which no encoder of UTF-8 writes.
    byte[] body = "{\"spec\":\"___\",\"steps\":[{\"count\":1}]}".getBytes(StandardCharsets.UTF_8);
    System.arraycopy(new byte[] {(byte) 0xED, (byte) 0xA0, (byte) 0xBD}, 0, body, 9, 3);
    assertThrows(IOException.class, () -> JobBodies.parseJob(ID, body));
    String pair = "{\"spec\":\"\\ud83d\\ude00\",\"steps\":[{\"count\":1}]}";
    assertThat(parse(pair).payload()).isEqualTo("😀");
  }

  /** Guards against a limit that is counted in letters, or not at all. */
  @Test
  void payloadIsLimitedInBytes() throws IOException {
    String job = "{\"spec\":\"%s\",\"steps\":[{\"count\":1}]}";
    for (String longest : List.of("x".repeat(4_000), "å".repeat(2_000), "😀".repeat(1_000))) {
      assertThat(parse(String.format(Locale.ROOT, job, longest)).payload()).isEqualTo(longest);
      assertThrows(
          IOException.class, () -> parse(String.format(Locale.ROOT, job, longest + "x")), longest);
    }
  }

  @Property(tries = 500)
  void arbitraryBodyIsParsedOrRejected(@ForAll byte[] body) {
    try {
      JobBodies.parseJob(ID, body);
    } catch (IOException e) {
      assertThat(e).hasMessageThat().isNotNull();
    }
  }

  @Test
  void parsesReport() throws IOException {
    WorkerReport report =
        PlatformWorkerClient.parseReport(
            "{\"clockMs\":482113,\"born\":17,\"running\":[[\"5c0e7a21d94b36f8.0.1.17\",2,"
                + "\"00ff\",41,3]],\"ended\":[[58,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"],"
                + "[59,\"not a task\",1,\"done\",\"\"],"
                + "[60,\"5c0e7a21d94b36f8.0.1.8\",1,\"alone\",\"\"]]}");
    RunRef running = new RunRef(new TaskRef(ID, 1, 17), 2);
    RunRef done = new RunRef(new TaskRef(ID, 1, 9), 1);
    RunRef broken = new RunRef(new TaskRef(ID, 1, 8), 1);
    assertThat(report)
        .isEqualTo(
            new WorkerReport(
                482113,
                17,
                List.of(new WorkerReport.ActiveRun(running, 41)),
                List.of(
                    new WorkerReport.Completion(58, done, RunOutcome.DONE),
                    new WorkerReport.Completion(60, broken, RunOutcome.BROKEN)),
                true));
  }

  @Test
  void fullReportMayOmitCompletions() throws IOException {
    assertThat(reportWithCompletions(499).hasAllCompletions()).isTrue();
    assertThat(reportWithCompletions(500).hasAllCompletions()).isFalse();
  }

  /** Returns a report whose first completion has a task name that this project does not produce. */
  private static WorkerReport reportWithCompletions(int count) throws IOException {
    StringBuilder body = new StringBuilder("{\"clockMs\":7,\"running\":[],\"ended\":[");
    body.append("[1,\"not a task\",1,\"done\",\"\"]");
    for (int i = 2; i <= count; i++) {
      body.append(",[").append(i).append(",\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"]");
    }
    return PlatformWorkerClient.parseReport(body.append("]}").toString());
  }

  @Test
  void parsesWorkerRegistration() throws IOException {
    String entry =
        "{\"service\":\"huvo11a\",\"address\":\"10.128.0.9:8080\",\"zone\":\"osl-a\",\"slots\":8,"
            + "\"state\":\"draining\",\"born\":9,\"capacity\":{\"cpu\":16000,\"memMb\":32768,"
            + "\"gpu\":0},\"labels\":[\"a\",\"r1-3\"],\"seq\":4,"
            + "\"warmupLeftMs\":700,\"clockMs\":482113,\"future\":{}}";
    WorkerInfo worker = WorkerEntries.parse("servers/i-1", entry);
    assertThat(worker.id()).isEqualTo("i-1");
    assertThat(worker.kind()).isEqualTo("a");
    assertThat(worker.rack()).isEqualTo("r1-3");
    assertThat(worker.draining()).isTrue();
    assertThat(worker.warmUpMillis()).isEqualTo(700);
    assertThat(worker.clockMillis()).isEqualTo(482_113);
    assertThat(worker.capacity()).isEqualTo(new Resources(16000, 32768, 0));
  }

  @Test
  void parsesDrainKeys() {
    assertThat(StoreDocuments.parseDrainKey("op/evacuate/osl-a")).hasValue("osl-a");
    assertThat(StoreDocuments.parseDrainKey("op/evacuate/")).isEmpty();
    assertThat(StoreDocuments.parseDrainKey("op/config")).isEmpty();
  }

  @Test
  void ignoresInvalidWorkerRegistrations() {
    String capacity = "\"capacity\":{\"cpu\":1,\"memMb\":1},\"labels\":[]";
    for (String entry :
        List.of(
            "",
            "not json",
            "[]",
            "7",
            "{}",
            "{\"service\":7,\"address\":\"1.2.3.4:5\",\"state\":\"ready\"," + capacity + "}",
            "{\"service\":\"s\",\"address\":\"nowhere\",\"state\":\"ready\"," + capacity + "}",
            "{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"state\":\"odd\"," + capacity + "}",
            "{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"state\":\"ready\",\"labels\":[]}")) {
      assertThrows(IOException.class, () -> WorkerEntries.parse("servers/x", entry));
    }
  }

  @Test
  void parsesConfiguration() throws IOException {
    RouteTable table =
        StoreDocuments.parseConfig(
            "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"A.example\",\"prefix\":\"/p/\","
                + "\"targetRuntimeMs\":60,\"priority\":1,\"service\":\"s\",\"attempts\":3,"
                + "\"stretch\":1.6},{\"name\":\"r2\",\"host\":\"a.example\",\"prefix\":\"/p/q/\","
                + "\"service\":\"s\"}],\"services\":[]}");
    RequestClass first = table.find("a.example:80", "/p/00").orElseThrow();
    assertThat(first.name()).isEqualTo("r1");
    assertThat(first.stretch()).isEqualTo(1.6);
    assertThat(first.attempts()).isEqualTo(3);
    assertThat(table.find("a.example", "/p/q/00").orElseThrow().name()).isEqualTo("r2");
    assertThat(table.find("a.example", "/other")).isEmpty();
    assertThat(table.find("b.example", "/p/00")).isEmpty();
    assertThat(table.version()).isEqualTo(7);
    assertThrows(IOException.class, () -> StoreDocuments.parseConfig("{\"routes\":[]}"));
    // It would be the largest or the smallest version if it wrapped, and newer ones be refused.
    String large = "{\"version\":99999999999999999999999999,\"routes\":[]}";
    assertThrows(IOException.class, () -> StoreDocuments.parseConfig(large));
  }

  private static RequestLimits limitsOf(String limits) throws IOException {
    return StoreDocuments.parseConfig("{\"version\":1,\"limits\":" + limits + "}").limits();
  }

  @Test
  void parsesLimitsOfRequests() throws IOException {
    String all =
        "{\"maxHeaderBytes\":1,\"maxBodyBytes\":2,\"headerTimeoutMs\":3,\"idleTimeoutMs\":4}";
    assertThat(limitsOf(all)).isEqualTo(new RequestLimits(1, 2, 3, 4));
    String odd =
        "{\"maxHeaderBytes\":0,\"maxBodyBytes\":\"2\",\"headerTimeoutMs\":-3,"
            + "\"idleTimeoutMs\":99999999999999999999}";
    assertThat(limitsOf(odd)).isEqualTo(RequestLimits.DEFAULT);
    assertThat(limitsOf("{\"maxBodyBytes\":999999999999}").maxBodyBytes()).isEqualTo(8 << 20);
    assertThat(limitsOf("[]")).isEqualTo(RequestLimits.DEFAULT);
  }

  @Test
  void tellsWhoseWorkersStartBeyondTheirCapacity() throws IOException {
    RouteTable table =
        StoreDocuments.parseConfig(
            "{\"version\":7,\"routes\":[{\"host\":\"a\",\"prefix\":\"/1/\",\"service\":\"s1\"},"
                + "{\"host\":\"a\",\"prefix\":\"/2/\",\"service\":\"s2\"},"
                + "{\"host\":\"a\",\"prefix\":\"/3/\",\"service\":\"s3\"}],"
                + "\"services\":[{\"name\":\"s1\",\"rejectsOverload\":false},"
                + "{\"name\":\"s2\",\"rejectsOverload\":true},{\"name\":\"s3\"}]}");
    assertThat(table.find("a", "/1/00").orElseThrow().startsBeyondCapacity()).isTrue();
    assertThat(table.find("a", "/2/00").orElseThrow().startsBeyondCapacity()).isFalse();
    assertThat(table.find("a", "/3/00").orElseThrow().startsBeyondCapacity()).isFalse();
  }
}
