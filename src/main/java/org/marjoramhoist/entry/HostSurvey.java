package org.marjoramhoist.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.HostMessage.LeaderQuery;
import org.marjoramhoist.message.HostMessage.LeaderQueryReply;
import org.marjoramhoist.peer.FrameLink;
import org.marjoramhoist.peer.FrameNetwork;

/**
 * Asks hosts over new links whether they hear a leader, and tells how many answered. A host whose
 * port refuses the connection has no process and counts as one that answered.
 *
 * <p>Ends once, when all have answered or the time is over. Confined to the loop's thread.
 */
final class HostSurvey implements FrameLink.Listener {

  private static final long TIMEOUT_MILLIS = 150;

  private final String self;
  private final Consumer<Result> result;
  private final int enough;
  private final List<FrameLink> links = new ArrayList<>();
  private int asked;
  private int answered;
  private boolean heard;
  private boolean leaderGone;
  private boolean ended;

  /**
   * What the hosts said.
   *
   * @param answered how many answered
   * @param leaderHeard whether any of them hears a leader
   * @param leaderGone whether the leader's own port refused the connection
   */
  record Result(int answered, boolean leaderHeard, boolean leaderGone) {}

  private HostSurvey(String self, int enough, Consumer<Result> result) {
    this.self = self;
    this.enough = enough;
    this.result = result;
  }

  /**
   * Begins.
   *
   * @param self the host that asks
   * @param addresses the peer addresses of the hosts to ask, by their names
   * @param leader the leader that is suspected
   * @param enough how many answers end the survey
   * @param result takes what the hosts said
   */
  static void start(
      String self,
      Map<String, String> addresses,
      String leader,
      int enough,
      FrameNetwork network,
      Loop loop,
      Consumer<Result> result) {
    HostSurvey survey = new HostSurvey(self, enough, result);
    survey.asked = addresses.size();
    loop.after(TIMEOUT_MILLIS, survey::end);
    addresses.forEach(
        (name, address) ->
            network.open(
                address,
                TIMEOUT_MILLIS,
                survey,
                survey::opened,
                refused -> survey.failed(refused, name.equals(leader))));
    if (addresses.isEmpty()) {
      loop.execute(survey::end);
    }
  }

  private void opened(FrameLink link) {
    links.add(link);
    if (ended) {
      link.close();
    } else {
      link.send(new LeaderQuery(self));
    }
  }

  private void failed(boolean refused, boolean isLeader) {
    if (refused) {
      leaderGone |= isLeader;
      answered(false);
    }
  }

  private void answered(boolean hears) {
    answered++;
    heard |= hears;
    if (heard || answered >= Math.min(asked, enough)) {
      end();
    }
  }

  private void end() {
    if (!ended) {
      ended = true;
      links.forEach(FrameLink::close);
      result.accept(new Result(answered, heard, leaderGone));
    }
  }

  @Override
  public void received(FrameLink link, HostMessage message) {
    if (!ended && message instanceof LeaderQueryReply reply) {
      answered(reply.hears());
    }
  }

  @Override
  public void closed(FrameLink link) {
    // A link that closes early has given no answer; the time-out covers it.
  }
}
