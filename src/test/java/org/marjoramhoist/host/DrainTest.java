package org.marjoramhoist.host;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.http.HttpCall;
import org.marjoramhoist.http.HttpCaller;
import org.marjoramhoist.http.HttpReply;
import org.marjoramhoist.http.RawCaller;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.standin.DevCluster;

/** Graceful shutdown of a host with work in flight. */
class DrainTest {

  private static final int SECONDS = 30;

  private final HttpCaller caller = new HttpCaller("test", 1);

  private CompletableFuture<HttpReply> send(
      String authority, String method, String path, String body) {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(SECONDS);
    return caller.call(HttpCall.of(authority, method, path, body, deadline));
  }

  private JsonNode get(String authority, String path) throws Exception {
    return JsonText.MAPPER.readTree(send(authority, "GET", path, "").get().body());
  }

  private void await(String authority, String path, String field, long least) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(SECONDS);
    while (System.nanoTime() < end) {
      JsonNode node = get(authority, path).path(field);
      long value = node.isArray() ? node.size() : node.asLong();
      if (value >= least) {
        return;
      }
      Thread.sleep(20);
    }
    throw new AssertionError(path + " " + field + " did not reach " + least);
  }

  @Test
  void endsWhatIsInFlightAndLosesNoAccount() throws Exception {
    try (DevCluster cluster = new DevCluster(2, 3);
        caller) {
      final String callers = cluster.hosts().get(0).listen().callers();
      String operators = cluster.hosts().get(0).listen().operators();
      String other = cluster.hosts().get(1).listen().operators();
      HttpReply applied = send(operators, "POST", "/v1/apply", cluster.declarations()).get();
      assertWithMessage(applied.body()).that(applied.status()).isEqualTo(200);
      await(operators, "/v1/status", "configRevision", 1);
      await(other, "/v1/status", "configRevision", 1);
      await(operators, "/v1/status", "hosts", 1);
      String ticket =
          JsonText.MAPPER
              .readTree(send(callers, "POST", "/v1/tickets", "").get().body())
              .path("ticket")
              .asText();
      String job =
          "{\"team\": \"demo\", \"class\": \"plume-snapshot\", \"deadlineMillis\": "
              + (System.currentTimeMillis() + 20_000)
              + ", \"tasks\": [{\"id\": \"a\", \"payload\": \"700\"}, {\"id\": \"b\"}]}";
      CompletableFuture<HttpReply> inFlight =
          send(callers, "PUT", "/v1/jobs/" + ticket + "?wait=20000", job);
      await(operators, "/v1/status", "attempts", 1);
      assertThat(cluster.hosts().get(0).drain()).isTrue();
      HttpReply reply = inFlight.get();
      assertWithMessage(reply.body()).that(reply.status()).isEqualTo(200);
      HttpReply refused = send(callers, "PUT", "/v1/jobs/later?wait=1000", job).get();
      assertThat(JsonText.MAPPER.readTree(refused.body()).path("error").asText())
          .isEqualTo("DRAINING");
      assertThat(send(callers, "GET", "/readyz", "").get().status()).isEqualTo(503);
      cluster.hosts().get(0).close();
      JsonNode report = get(other, "/v1/report?by=submission");
      assertThat(report.path("gaps").size()).isEqualTo(0);
      assertThat(report.path("rows").get(0).path("ok").asInt()).isEqualTo(2);
      await(other, "/v1/status", "shards", 8);
    }
  }

  @Test
  void requestHalfReadAsTheStopBeginsIsAnswered() throws Exception {
    try (DevCluster cluster = new DevCluster(1, 1);
        RawCaller half = new RawCaller(cluster.hosts().get(0).listen().callers())) {
      byte[] request = RawCaller.request("PUT", "host", "/v1/jobs/half", "{}");
      half.send(request, 0, request.length - 1);
      Thread.sleep(100);
      final CompletableFuture<Void> stopped =
          CompletableFuture.runAsync(cluster.hosts().get(0)::stop);
      Thread.sleep(1_500);
      half.send(request, request.length - 1, 1);
      assertThat(half.receive().status()).isEqualTo(400);
      stopped.get(SECONDS, TimeUnit.SECONDS);
    }
  }
}
