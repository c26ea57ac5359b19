package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.RetryForecast;
import org.marjoramhoist.http.LoopbackPorts;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.lead.DomainElection;
import org.marjoramhoist.lead.Election;
import org.marjoramhoist.lead.ElectionTimeouts;
import org.marjoramhoist.lead.HostCapacity;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.HostMessage.Heartbeat;
import org.marjoramhoist.message.HostMessage.HeartbeatReply;
import org.marjoramhoist.message.HostMessage.Withdraw;
import org.marjoramhoist.peer.FrameNetwork;

/**
 * What the partition's leader hears of a job that is cancelled at a host which has lost the leader.
 * Guards against a job that goes on although its cancellation was acknowledged.
 */
class LostLeaderTest extends StoreFixture {

  private static final JobId ID = new JobId("00000000000000a1");
  private static final RequestClass CLASS =
      new RequestClass("check", "h", "/p/", "reviews", 0, 3, 1.6, 60, false);
  private static final ElectionTimeouts TIMEOUTS =
      new ElectionTimeouts(450_000, 600_000, 400_000, 200_000, 30_000);
  private static final long TIMEOUT_MICROS = 10_000_000;
  private static final long TERM = 5;

  /** Longer than a leader is silent before its host drops it, shorter than links last. */
  private static final long SILENCE_MILLIS = 525;

  private final LeaderTracker leaders = new LeaderTracker();
  private final OpenJobs jobs = new OpenJobs(leaders);
  private final List<HostMessage> heard = Collections.synchronizedList(new ArrayList<>());
  private int port;
  private PartitionMember member;
  private FrameNetwork network;

  @BeforeEach
  void startHost() throws IOException {
    port = LoopbackPorts.free(1).get(0);
    StoreHealth health = new StoreHealth();
    HostRegistration registration =
        new HostRegistration(
            client,
            loop,
            health,
            "b",
            7,
            "127.0.0.1:" + port,
            "north",
            HostCapacity.of(1, 1_000),
            event -> {});
    Election election = new Election("b", 7, TIMEOUTS, EventLoop.now());
    ConfigWatch config = new ConfigWatch();
    DrainedDomains drained = new DrainedDomains();
    IsolatedDomainMember domain =
        new IsolatedDomainMember(
            "b",
            loop,
            new DomainElection("b", TIMEOUTS, 0),
            new DomainStateTransfer(election, registration, config),
            registration,
            leaders,
            jobs,
            drained,
            new SuspensionDetector(),
            1_300_000,
            handedOver -> null);
    member =
        new PartitionMember(
            "b",
            loop,
            election,
            registration,
            health,
            config,
            drained,
            leaders,
            jobs,
            new JobCalls(leaders, 7, new RecentResults()),
            domain,
            () -> null,
            lead -> null);
    network = new FrameNetwork(worker, new InetSocketAddress("127.0.0.1", port), member);
  }

  @AfterEach
  void stopHost() {
    network.close();
  }

  private <T> T onLoop(Supplier<T> task) throws Exception {
    return CompletableFuture.supplyAsync(task, loop::execute).get(5, TimeUnit.SECONDS);
  }

  private FollowerLinks leaderLinks() {
    return leaderLinks(heard::add);
  }

  private FollowerLinks leaderLinks(Consumer<HostMessage> listener) {
    Map<String, String> addresses = Map.of("b", "127.0.0.1:" + port);
    return new FollowerLinks(
        "a", network, () -> addresses, (host, message) -> listener.accept(message), host -> {});
  }

  private void sendHeartbeat(FollowerLinks links, long sentAt) throws Exception {
    Heartbeat heartbeat = new Heartbeat(TERM, "a", 0, 0, Map.of(), 1, sentAt, RetryForecast.NONE);
    onLoop(
        () -> {
          links.sendHeartbeats(heartbeat);
          return null;
        });
  }

  private void pass(long millis) throws Exception {
    for (long passed = 0; passed < millis; passed += 25) {
      Thread.sleep(25);
      onLoop(
          () -> {
            member.dropUnreachableLeader();
            return null;
          });
    }
  }

  private void beat(FollowerLinks links, int heartbeats) throws Exception {
    for (int i = 0; i < heartbeats; i++) {
      sendHeartbeat(links, EventLoop.now());
      pass(50);
    }
  }

  private void submit() throws Exception {
    JobDescription job = new JobDescription(ID, "p", List.of(), Set.of());
    onLoop(
        () -> {
          long now = EventLoop.now();
          jobs.submit(job, CLASS, now, now + TIMEOUT_MICROS, result -> {});
          return null;
        });
    pass(50);
  }

  /** Cancels the job; returns the heartbeat by which the host had found the leader before. */
  private long cancel() throws Exception {
    final long foundBy = lastFoundBy();
    heard.clear();
    assertThat(onLoop(() -> jobs.cancel(ID))).isTrue();
    return foundBy;
  }

  private long lastFoundBy() {
    return List.copyOf(heard).stream()
        .filter(HeartbeatReply.class::isInstance)
        .mapToLong(each -> ((HeartbeatReply) each).leaderFoundBy())
        .reduce(0, (first, second) -> second);
  }

  private void assertLeaderLearnsOfCancel(long foundBy) {
    boolean withdrawn = List.copyOf(heard).stream().anyMatch(Withdraw.class::isInstance);
    boolean foundAnew = lastFoundBy() > foundBy;
    assertThat(withdrawn || foundAnew).isTrue();
  }

  @Test
  void leaderThatWasSilentLearnsOfCancel() throws Exception {
    FollowerLinks links = leaderLinks();
    beat(links, 4);
    submit();
    beat(links, 1);
    pass(SILENCE_MILLIS);
    assertThat(onLoop(() -> leaders.partitionLeader() == null)).isTrue();
    long foundBy = cancel();
    beat(links, 4);
    assertLeaderLearnsOfCancel(foundBy);
  }

  /** A heartbeat of the link before is received after the first one on the new link. */
  @Test
  void leaderLearnsOfCancelAfterLateHeartbeatOnReplacedLink() throws Exception {
    FollowerLinks replaced = leaderLinks(message -> {});
    beat(replaced, 2);
    final long lateSentAt = EventLoop.now();
    FollowerLinks current = leaderLinks();
    beat(current, 3);
    submit();
    sendHeartbeat(replaced, lateSentAt);
    pass(50);
    long foundBy = cancel();
    beat(current, 4);
    assertLeaderLearnsOfCancel(foundBy);
  }
}
