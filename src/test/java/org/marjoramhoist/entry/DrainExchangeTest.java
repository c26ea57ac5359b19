package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.config.NodeSettings;
import org.marjoramhoist.dispatch.RetryForecast;
import org.marjoramhoist.http.HostPort;
import org.marjoramhoist.http.LoopbackPorts;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.HostMessage.DomainHeartbeat;
import org.marjoramhoist.message.HostMessage.DomainHeartbeatReply;
import org.marjoramhoist.message.HostMessage.DrainCopy;
import org.marjoramhoist.message.HostMessage.DrainQuery;
import org.marjoramhoist.message.HostMessage.Heartbeat;
import org.marjoramhoist.message.HostMessage.HeartbeatReply;
import org.marjoramhoist.peer.FrameLink;
import org.marjoramhoist.peer.FrameNetwork;

/**
 * The exchange of drained domains between a host and a peer that knows a later store revision. The
 * host must request them from the peer, as it may be disconnected from the store.
 */
class DrainExchangeTest extends StoreFixture {

  private static final String LOOPBACK = "127.0.0.1:";
  private static final long TIMEOUT_SECONDS = 10;
  private static final long REPEAT_MILLIS = 50;
  private static final long LATER_REVISION = 1_000_000;
  private static final long LATER_TERM = 2_000_000;

  private final BlockingQueue<HostMessage> received = new LinkedBlockingQueue<>();
  private final FrameLink.Listener peer =
      new FrameLink.Listener() {
        @Override
        public void received(FrameLink link, HostMessage message) {
          received.add(message);
          reply(link, message);
        }

        @Override
        public void closed(FrameLink link) {
          // The host reconnects by itself.
        }
      };
  private FrameNetwork network;
  private String hostAddress;
  private EntryNode host;

  /** The drain revision in the peer's heartbeat replies. */
  private volatile long repliedRevision;

  private void reply(FrameLink link, HostMessage message) {
    if (message instanceof Heartbeat heartbeat) {
      link.send(
          new HeartbeatReply(
              heartbeat.term(), "peer", 0, repliedRevision, true, heartbeat.sentAt()));
    } else if (message instanceof DrainQuery) {
      link.send(new DrainCopy(LATER_REVISION, Set.of("north")));
    }
  }

  @BeforeEach
  void startHost() throws Exception {
    List<Integer> ports = LoopbackPorts.free(4);
    hostAddress = LOOPBACK + ports.get(2);
    String peerAddress = LOOPBACK + ports.get(3);
    network = new FrameNetwork(worker, HostPort.parse(peerAddress), peer);
    store.put(
        "marjoramhoist/hosts/peer",
        JsonText.of(Map.of("address", peerAddress, "incarnation", 1, "failureDomain", "south")));
    Map<String, Object> listen =
        Map.of(
            "callers", LOOPBACK + ports.get(0),
            "ready", LOOPBACK + ports.get(1),
            "peers", hostAddress);
    Map<String, Object> settings =
        Map.of(
            "host",
            "host",
            "failureDomain",
            "north",
            "listen",
            listen,
            "store",
            store.address(),
            "limits",
            Map.of("processorShare", 1, "linkMbps", 1_000));
    host = EntryNode.start(NodeSettings.parse("host", JsonText.of(settings)));
  }

  @AfterEach
  void stopHost() {
    host.close();
    network.close();
  }

  private void await(Predicate<HostMessage> wanted) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    HostMessage next;
    do {
      next = received.poll(deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
      assertThat(next).isNotNull();
    } while (!wanted.test(next));
  }

  /** Sends a message repeatedly over a separate link, as heartbeats are sent. */
  private void sendToHost(HostMessage message) {
    loop.execute(
        () ->
            network.open(
                hostAddress,
                TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS),
                peer,
                link -> loop.scheduleWithFixedDelay(REPEAT_MILLIS, () -> link.send(message)),
                failure -> {}));
  }

  /**
   * A later drain revision in a heartbeat reply must make the leader request the drained domains.
   */
  @Test
  void leaderLearnsFromFollower() throws InterruptedException {
    repliedRevision = LATER_REVISION;
    await(
        message ->
            message instanceof Heartbeat heartbeat && heartbeat.drainRevision() == LATER_REVISION);
  }

  /**
   * A later drain revision in a heartbeat must make a follower request the drained domains, as it
   * may become the next leader.
   */
  @Test
  void followerLearnsFromLeaderAndForwards() throws InterruptedException {
    await(message -> message instanceof Heartbeat);
    sendToHost(
        new Heartbeat(LATER_TERM, "peer", 0, LATER_REVISION, Map.of(), 1, 1, RetryForecast.NONE));
    await(message -> message instanceof DrainQuery);
    await(
        message ->
            message instanceof HeartbeatReply reply && reply.drainRevision() == LATER_REVISION);
    sendToHost(new DrainQuery(0));
    await(new DrainCopy(LATER_REVISION, Set.of("north"))::equals);
  }

  /**
   * While a failure domain is isolated, a host can learn of a drain only from hosts of its own
   * domain.
   */
  @Test
  void hostLearnsFromLeaderOfItsDomain() throws InterruptedException {
    await(message -> message instanceof Heartbeat);
    sendToHost(new DomainHeartbeat("peer", "north", true, LATER_REVISION, 1));
    await(message -> message instanceof DrainQuery);
    await(
        message ->
            message instanceof DomainHeartbeatReply reply
                && reply.drainRevision() == LATER_REVISION);
  }
}
