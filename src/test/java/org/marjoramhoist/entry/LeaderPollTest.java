package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.http.HostPort;
import org.marjoramhoist.http.LoopbackPorts;
import org.marjoramhoist.lead.ElectionEvent;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.HostMessage.LeaderQuery;
import org.marjoramhoist.message.HostMessage.LeaderQueryReply;
import org.marjoramhoist.peer.FrameLink;
import org.marjoramhoist.peer.FrameNetwork;

/** Polls of hosts about a leader that is suspected, over loopback. */
class LeaderPollTest extends StoreFixture {

  private static final long TERM = 7;
  private static final long WAIT_MILLIS = 5_000;
  private static final int MAX_POLLS = 20;

  /** A host that replies that it hears the leader. */
  private static final FrameLink.Listener HEARS_LEADER =
      new FrameLink.Listener() {
        @Override
        public void received(FrameLink link, HostMessage message) {
          if (message instanceof LeaderQuery) {
            link.send(new LeaderQueryReply("other", true, false, TERM));
          }
        }

        @Override
        public void closed(FrameLink link) {}
      };

  /** A cut that refuses connections looks like the end of the leader's process. */
  @Test
  void refusalDoesNotProveThatLeaderStoppedWhichAnotherHostHears() throws Exception {
    List<Integer> ports = LoopbackPorts.free(2);
    String other = "127.0.0.1:" + ports.get(0);
    String refusing = "127.0.0.1:" + ports.get(1);
    Map<String, String> hosts = Map.of("other", other, "leader", refusing);
    try (FrameNetwork network = new FrameNetwork(worker, HostPort.parse(other), HEARS_LEADER)) {
      LeaderPoll.Result ended = poll(hosts, network);
      // The first polls of a process may take longer than a poll lasts.
      for (int i = 0; i < MAX_POLLS && ended.replied() == 0; i++) {
        ended = poll(hosts, network);
      }
      assertThat(ended.leaderAlive()).isTrue();
      assertThat(ended.leaderRefuses()).isTrue();
      assertThat(ended.leaderStopped()).isFalse();
    }
  }

  private LeaderPoll.Result poll(Map<String, String> hosts, FrameNetwork network) throws Exception {
    CompletableFuture<LeaderPoll.Result> result = new CompletableFuture<>();
    loop.execute(
        () -> LeaderPoll.start("self", hosts, "leader", 2, network, loop, result::complete));
    return result.get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * As a cut healed, a host behind it that all others had just refused took itself for elected by
   * them, while they followed the leader.
   */
  @Test
  void refusalsDoNotCountWhileTheStoreIsCutOffToo() {
    LeaderPoll.Result result = new LeaderPoll.Result(32, 8, false, true, false);
    assertThat(result.toEvent(false))
        .isEqualTo(new ElectionEvent.HostsPolled(8, false, false, false));
    assertThat(result.toEvent(true))
        .isEqualTo(new ElectionEvent.HostsPolled(32, false, true, false));
  }
}
