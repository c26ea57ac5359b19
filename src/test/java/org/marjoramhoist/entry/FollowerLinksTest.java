package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.http.LoopbackServer;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.HostMessage.LeaderQuery;
import org.marjoramhoist.peer.FrameLink;
import org.marjoramhoist.peer.FrameNetwork;

/** What a leader receives from hosts on links that it still needs, and on those that it doesn't. */
class FollowerLinksTest extends StoreFixture {

  private static final long RECEIVE_MILLIS = 100;

  private final List<HostMessage> received = Collections.synchronizedList(new ArrayList<>());
  private final CompletableFuture<FrameLink> accepted = new CompletableFuture<>();

  private final FrameLink.Listener host =
      new FrameLink.Listener() {
        @Override
        public void received(FrameLink link, HostMessage message) {
          accepted.complete(link);
        }

        @Override
        public void closed(FrameLink link) {}
      };

  /** Guards against a successor that handles what was sent to the leader before it. */
  @Test
  void nothingIsReceivedForLeaderThatHasStoppedLeading() throws Exception {
    int port = LoopbackServer.freePorts(1).get(0);
    try (FrameNetwork network =
        new FrameNetwork(worker, new InetSocketAddress("127.0.0.1", port), host)) {
      Map<String, String> addresses = Map.of("b", "127.0.0.1:" + port);
      FollowerLinks links =
          new FollowerLinks(
              "a", network, () -> addresses, (name, message) -> received.add(message), name -> {});
      loop.execute(() -> links.sendHeartbeats(new LeaderQuery("a")));
      FrameLink link = accepted.get(5, TimeUnit.SECONDS);
      send(link, "first");
      assertThat(received).containsExactly(new LeaderQuery("first"));
      loop.execute(links::stopReceiving);
      send(link, "second");
      assertThat(received).containsExactly(new LeaderQuery("first"));
      loop.execute(links::close);
    }
  }

  private void send(FrameLink link, String name) throws InterruptedException {
    loop.execute(() -> link.send(new LeaderQuery(name)));
    Thread.sleep(RECEIVE_MILLIS);
  }
}
