package org.marjoramhoist.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.BiConsumer;
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
  private final BiConsumer<Integer, Boolean> result;
  private final List<FrameLink> links = new ArrayList<>();
  private int asked;
  private int answered;
  private boolean heard;
  private boolean ended;

  private HostSurvey(String self, BiConsumer<Integer, Boolean> result) {
    this.self = self;
    this.result = result;
  }

  /**
   * Begins.
   *
   * @param self the host that asks
   * @param addresses the peer addresses of the hosts to ask
   * @param result takes how many answered, and whether any of them hears a leader
   */
  static void start(
      String self,
      Collection<String> addresses,
      FrameNetwork network,
      Loop loop,
      BiConsumer<Integer, Boolean> result) {
    HostSurvey survey = new HostSurvey(self, result);
    survey.asked = addresses.size();
    loop.after(TIMEOUT_MILLIS, survey::end);
    for (String address : addresses) {
      network.open(
          address, TIMEOUT_MILLIS, survey, survey::opened, refused -> survey.failed(refused));
    }
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

  private void failed(boolean refused) {
    if (refused) {
      answered(false);
    }
  }

  private void answered(boolean hears) {
    answered++;
    heard |= hears;
    if (heard || answered == asked) {
      end();
    }
  }

  private void end() {
    if (!ended) {
      ended = true;
      links.forEach(FrameLink::close);
      result.accept(answered, heard);
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
