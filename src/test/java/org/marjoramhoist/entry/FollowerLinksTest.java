package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.RetryForecast;
import org.marjoramhoist.http.HostPort;
import org.marjoramhoist.http.LoopbackPorts;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.HostMessage.Heartbeat;
import org.marjoramhoist.message.HostMessage.LeaderQuery;
import org.marjoramhoist.peer.FrameLink;
import org.marjoramhoist.peer.FrameNetwork;

/**
 * Links that a leader doesn't need any more, over loopback. Guards against a submission that is
 * read after one that was sent later, on the next link.
 */
class FollowerLinksTest extends StoreFixture {

  private static final String HOST = "host";
  private static final long WAIT_SECONDS = 10;

  /** Longer than a message takes to be read. */
  private static final long READ_MILLIS = 100;

  /** Longer than a leader keeps a link on which it receives nothing. */
  private static final long SILENCE_MILLIS = 800;

  private static final HostMessage HEARTBEAT =
      new Heartbeat(7, "leader", 0, 0, Map.of(), 1, 1, RetryForecast.NONE);

  private final BlockingQueue<FrameLink> linksOfHost = new LinkedBlockingQueue<>();
  private final BlockingQueue<HostMessage> receivedByLeader = new LinkedBlockingQueue<>();
  private final FrameLink.Listener host =
      new FrameLink.Listener() {
        @Override
        public void received(FrameLink link, HostMessage message) {
          linksOfHost.add(link);
        }

        @Override
        public void closed(FrameLink link) {
          // The leader opens the next link by itself.
        }
      };
  private FrameNetwork network;
  private FollowerLinks links;

  @BeforeEach
  void openNetwork() throws Exception {
    String address = "127.0.0.1:" + LoopbackPorts.free(1).get(0);
    network = new FrameNetwork(worker, HostPort.parse(address), host);
    links =
        new FollowerLinks(
            "leader",
            network,
            () -> Map.of(HOST, address),
            (name, message) -> receivedByLeader.add(message),
            lost -> {});
  }

  @AfterEach
  void closeNetwork() throws Exception {
    onLoop(
        () -> {
          links.close();
          return true;
        });
    network.close();
  }

  private <T> T onLoop(Supplier<T> task) throws Exception {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.execute(() -> result.complete(task.get()));
    return result.get(WAIT_SECONDS, TimeUnit.SECONDS);
  }

  private static HostMessage message(int number) {
    return new LeaderQuery("host " + number);
  }

  private void sendHeartbeats() {
    links.sendHeartbeats(HEARTBEAT);
  }

  /** Returns the host's side of the link on which it received the next heartbeat. */
  private FrameLink nextLink() throws InterruptedException {
    FrameLink link = linksOfHost.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    assertThat(link).isNotNull();
    return link;
  }

  private HostMessage nextMessage() throws InterruptedException {
    return receivedByLeader.poll(WAIT_SECONDS, TimeUnit.SECONDS);
  }

  private void send(FrameLink link, int number) {
    loop.execute(() -> link.send(message(number)));
  }

  /** What is unread as the leader closes a link, and what is sent afterwards, is never read. */
  @Test
  void whatWasSentOnReplacedLinkIsNotRead() throws Exception {
    loop.execute(this::sendHeartbeats);
    final FrameLink replaced = nextLink();
    send(replaced, 1);
    assertThat(nextMessage()).isEqualTo(message(1));
    Thread.sleep(SILENCE_MILLIS);
    loop.execute(
        () -> {
          replaced.send(message(2));
          // After the message was written, but before the leader's side is read.
          loop.execute(this::sendHeartbeats);
          loop.execute(() -> replaced.send(message(3)));
        });
    FrameLink next = nextLink();
    assertThat(next).isNotSameInstanceAs(replaced);
    send(next, 4);
    assertThat(nextMessage()).isEqualTo(message(4));
    send(replaced, 5);
    send(next, 6);
    assertThat(nextMessage()).isEqualTo(message(6));
  }

  /** Guards against a successor that handles what was sent to the leader before it. */
  @Test
  void nothingIsReadForLeaderThatHasStoppedLeading() throws Exception {
    loop.execute(this::sendHeartbeats);
    FrameLink link = nextLink();
    send(link, 1);
    assertThat(nextMessage()).isEqualTo(message(1));
    loop.execute(links::stopReceiving);
    send(link, 2);
    assertThat(receivedByLeader.poll(READ_MILLIS, TimeUnit.MILLISECONDS)).isNull();
  }
}
