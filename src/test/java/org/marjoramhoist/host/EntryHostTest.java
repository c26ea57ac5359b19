package org.marjoramhoist.host;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.http.HttpCall;
import org.marjoramhoist.http.HttpCaller;
import org.marjoramhoist.http.HttpReply;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.standin.DevCluster;
import org.marjoramhoist.standin.WorkerStandIn;

class EntryHostTest {

  private static final int HOSTS = 3;
  private static final long PATIENCE_SECONDS = 30;
  private static final String JOB =
      """
      {"team": "demo", "class": "plume-snapshot", "deadlineMillis": %d, "tasks": [%s]}
      """;

  private static DevCluster cluster;
  private static HttpCaller caller;

  @BeforeAll
  static void start() throws Exception {
    cluster = new DevCluster(HOSTS, 4);
    caller = new HttpCaller("test", 1);
    HttpReply applied = call(operators(0), "POST", "/v1/apply", cluster.declarations());
    assertWithMessage(applied.body()).that(applied.status()).isEqualTo(200);
    for (int host = 0; host < HOSTS; host++) {
      awaitReady(host);
    }
  }

  @AfterAll
  static void stop() {
    caller.close();
    cluster.close();
  }

  private static void awaitReady(int host) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
    while (System.nanoTime() < end) {
      JsonNode status = json(call(operators(host), "GET", "/v1/status", ""));
      boolean hasPeers = status.path("hosts").size() == HOSTS - 1;
      boolean isReady = call(callers(host), "GET", "/readyz", "").status() == 200;
      if (hasPeers && isReady && ownedShards() == 8) {
        return;
      }
      Thread.sleep(50);
    }
    throw new AssertionError("host " + host + " did not become ready");
  }

  private static int ownedShards() throws Exception {
    int owned = 0;
    for (int host = 0; host < HOSTS; host++) {
      owned += json(call(operators(host), "GET", "/v1/status", "")).path("shards").size();
    }
    return owned;
  }

  private static String operators(int host) {
    return cluster.hosts().get(host).listen().operators();
  }

  private static String callers(int host) {
    return cluster.hosts().get(host).listen().callers();
  }

  private static HttpReply call(String authority, String method, String path, String body)
      throws Exception {
    return send(authority, method, path, body).get();
  }

  private static CompletableFuture<HttpReply> send(
      String authority, String method, String path, String body) {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
    return caller.call(HttpCall.of(authority, method, path, body, deadline));
  }

  private static JsonNode json(HttpReply reply) throws Exception {
    return JsonText.MAPPER.readTree(reply.body());
  }

  private static String job(int tasks, String payload) {
    long deadline = System.currentTimeMillis() + 20_000;
    List<String> items =
        IntStream.range(0, tasks)
            .mapToObj(i -> "{\"id\": \"t" + i + "\", \"payload\": \"" + payload + "\"}")
            .toList();
    return String.format(Locale.ROOT, JOB, deadline, String.join(",", items));
  }

  private static int starts(String submission, int task) {
    int starts = 0;
    for (WorkerStandIn worker : cluster.workers()) {
      var count = worker.starts().get(submission + "/t" + task);
      starts += count == null ? 0 : count.get();
    }
    return starts;
  }

  @Test
  void startsEachTaskOnceWhenAllHostsGetTheSameSubmission() throws Exception {
    int tasks = 20;
    String body = job(tasks, "30");
    List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
    for (int host = 0; host < HOSTS; host++) {
      replies.add(send(callers(host), "PUT", "/v1/jobs/same?wait=20000", body));
    }
    for (CompletableFuture<HttpReply> reply : replies) {
      assertWholeAnswer(reply.get(), tasks);
    }
    for (int host = 0; host < HOSTS; host++) {
      assertWholeAnswer(call(callers(host), "PUT", "/v1/jobs/same?wait=20000", body), tasks);
      assertWholeAnswer(call(callers(host), "GET", "/v1/jobs/same?wait=20000", ""), tasks);
    }
    for (int task = 0; task < tasks; task++) {
      assertWithMessage("starts of task %s", task).that(starts("same", task)).isEqualTo(1);
    }
  }

  private static void assertWholeAnswer(HttpReply reply, int tasks) throws Exception {
    assertWithMessage(reply.body()).that(reply.status()).isEqualTo(200);
    JsonNode results = json(reply).path("results");
    assertThat(results.size()).isEqualTo(tasks);
    for (int task = 0; task < tasks; task++) {
      assertThat(results.get(task).path("task").asText()).isEqualTo("t" + task);
      assertThat(results.get(task).path("value").asText()).isEqualTo("done:t" + task);
    }
  }

  @Test
  void refusesAnotherBodyUnderTheSameIdAtAnyHost() throws Exception {
    call(callers(0), "PUT", "/v1/jobs/conflict?wait=10000", job(2, "5"));
    for (int host = 0; host < HOSTS; host++) {
      HttpReply reply = call(callers(host), "PUT", "/v1/jobs/conflict?wait=10000", job(3, "5"));
      assertThat(json(reply).path("error").asText()).isEqualTo("SUBMISSION_CONFLICT");
    }
  }

  @Test
  void startsTicketOnlyAtItsIssuer() throws Exception {
    HttpReply issued = call(callers(1), "POST", "/v1/tickets", "");
    String ticket = json(issued).path("ticket").asText();
    String body = job(3, "5");
    for (int host = 0; host < HOSTS; host++) {
      String path = "/v1/jobs/" + ticket + "?wait=10000";
      assertWholeAnswer(call(callers(host), "PUT", path, body), 3);
    }
    assertThat(starts(ticket, 0)).isEqualTo(1);
  }

  @Test
  void failsWholeJobWhenOneTaskFails() throws Exception {
    HttpReply reply = call(callers(0), "PUT", "/v1/jobs/broken?wait=10000", job(4, "fail"));
    JsonNode answer = json(reply);
    assertThat(answer.path("error").asText()).isEqualTo("TASK_FAILED");
    assertThat(answer.path("ran").asText()).isEqualTo("RAN");
    assertThat(answer.has("results")).isFalse();
  }

  @Test
  void refusesWhatIsWrongWithItsKind() throws Exception {
    String good = job(1, "5");
    assertRefused("bad-json", "{\"team\": ", "BAD_REQUEST");
    assertRefused("twice", good.replace("]", ", {\"id\": \"t0\"}]"), "BAD_REQUEST");
    assertRefused("half-pair", good.replace("\"5\"", "\"5\\ud83d\""), "BAD_REQUEST");
    assertRefused("unknown-key", good.replace("\"team\"", "\"x\": 1, \"team\""), "BAD_REQUEST");
    assertRefused("no-team", good.replace("demo", "nobody"), "UNDECLARED");
    assertRefused("no-class", good.replace("plume-snapshot", "nothing"), "UNDECLARED");
    String past = good.replaceAll("\"deadlineMillis\": \\d+", "\"deadlineMillis\": 1000");
    assertRefused("past", past, "EXPIRED");
    assertRefused("bad id!", good, "BAD_REQUEST");
    assertRefused("large", "x".repeat(5 << 20), "TOO_LARGE");
  }

  private static void assertRefused(String id, String body, String kind) throws Exception {
    String path = "/v1/jobs/" + id.replace(" ", "%20") + "?wait=5000";
    HttpReply reply = call(callers(0), "PUT", path, body);
    assertWithMessage("%s: %s", id, reply.body())
        .that(json(reply).path("error").asText())
        .isEqualTo(kind);
  }

  @Test
  void tellsLoserOfRaceWhichFieldChanged() throws Exception {
    String first = "{\"kind\": \"team\", \"name\": \"raced\", \"spec\": {\"quotaTasks\": 10}}";
    call(operators(0), "POST", "/v1/apply", first);
    String stale = first.replace("10}", "20}").replace("\"spec\"", "\"version\": 1, \"spec\"");
    HttpReply reply = call(operators(1), "POST", "/v1/apply", stale);
    assertThat(reply.status()).isEqualTo(409);
    assertThat(json(reply).path("detail").asText()).contains("quotaTasks");
  }

  @Test
  void refusesDeclarationThatNamesNothing() throws Exception {
    String dangling =
        "{\"kind\": \"class\", \"name\": \"lost\", \"spec\": {\"upstream\": \"nowhere\"}}";
    HttpReply reply = call(operators(0), "POST", "/v1/apply", dangling);
    assertThat(json(reply).path("error").asText()).isEqualTo("INVALID_DECLARATION");
    assertThat(json(reply).path("detail").asText()).contains("upstream/nowhere");
  }

  @Test
  void showsMetricsByTeamAndClass() throws Exception {
    call(callers(0), "PUT", "/v1/jobs/metered?wait=10000", job(1, "5"));
    String metrics = call(operators(0), "GET", "/metrics", "").body();
    assertThat(metrics).contains("marjoramhoist_job_response_seconds_bucket");
    assertThat(metrics).contains("team=\"demo\"");
  }
}
