package org.marjoramhoist.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.marjoramhoist.lead.ElectionEvent;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.HostMessage.LeaderQuery;
import org.marjoramhoist.message.HostMessage.LeaderQueryReply;
import org.marjoramhoist.peer.FrameLink;
import org.marjoramhoist.peer.FrameNetwork;

/**
 * Polls hosts over new links on whether they are in contact with a leader, and reports how many
 * answered. A host that refuses the connection counts as one that answered: it has no running
 * process, or a cut refuses. The suspected leader has stopped only if it replies that it does not
 * lead.
 *
 * <p>Ends once: when enough hosts have answered, when the suspected leader is known to be alive, or
 * after {@link #TIMEOUT_MILLIS}. Confined to the event loop's thread.
 */
final class LeaderPoll implements FrameLink.Listener {

  /** The maximum duration of a poll. */
  static final long TIMEOUT_MILLIS = 150;

  private final String self;
  private final String leader;
  private final Consumer<Result> result;
  private final int requiredAnswers;
  private final Map<FrameLink, String> links = new LinkedHashMap<>();
  private int polled;
  private int answered;
  private int replied;
  private boolean leaderAlive;
  private boolean leaderAnswered;
  private boolean leaderRefuses;
  private boolean leaderStopped;
  private boolean ended;

  /**
   * The result of a poll.
   *
   * @param answered the number of hosts that replied or refused the connection
   * @param replied the number of hosts that replied
   * @param leaderAlive whether any of them is in contact with a leader
   * @param leaderRefuses whether the suspected leader refused the connection
   * @param leaderStopped whether the suspected leader replied that it leads no more
   */
  record Result(
      int answered,
      int replied,
      boolean leaderAlive,
      boolean leaderRefuses,
      boolean leaderStopped) {

    /**
     * Returns the result for the election. Refusals count only while the store responds: a cut that
     * refuses connections to other hosts usually cuts the store off too.
     */
    ElectionEvent.HostsPolled toEvent(boolean storeResponds) {
      return new ElectionEvent.HostsPolled(
          storeResponds ? answered : replied,
          leaderAlive,
          leaderRefuses && storeResponds,
          leaderStopped);
    }
  }

  private LeaderPoll(String self, String leader, int requiredAnswers, Consumer<Result> result) {
    this.self = self;
    this.leader = leader;
    this.requiredAnswers = requiredAnswers;
    this.result = result;
  }

  /**
   * Starts a poll.
   *
   * @param self the host that polls
   * @param addresses the peer addresses of the hosts to poll, by host name
   * @param leader the suspected leader
   * @param requiredAnswers the number of answers that end the poll
   * @param result receives the result
   */
  static void start(
      String self,
      Map<String, String> addresses,
      String leader,
      int requiredAnswers,
      FrameNetwork network,
      EventLoop loop,
      Consumer<Result> result) {
    LeaderPoll poll = new LeaderPoll(self, leader, requiredAnswers, result);
    poll.polled = addresses.size();
    poll.leaderAnswered = !addresses.containsKey(leader);
    loop.schedule(TIMEOUT_MILLIS, poll::end);
    addresses.forEach(
        (name, address) ->
            network.open(
                address,
                TIMEOUT_MILLIS,
                poll,
                link -> poll.connected(link, name),
                refused -> poll.connectionFailed(refused, name)));
    if (addresses.isEmpty()) {
      loop.execute(poll::end);
    }
  }

  private void connected(FrameLink link, String name) {
    links.put(link, name);
    if (ended) {
      link.close();
    } else {
      link.send(new LeaderQuery(self));
    }
  }

  private void connectionFailed(boolean refused, String name) {
    if (refused) {
      leaderRefuses |= leader.equals(name);
      countAnswer(name);
    }
  }

  private void countAnswer(String name) {
    answered++;
    leaderAnswered |= leader.equals(name);
    boolean maySucceed = leaderRefuses || leaderStopped;
    boolean confirmedAlive = leaderAlive && leaderAnswered && !maySucceed;
    boolean enoughAgree =
        (!leaderAlive || maySucceed) && answered >= Math.min(polled, requiredAnswers);
    if (confirmedAlive || enoughAgree) {
      end();
    }
  }

  private void end() {
    if (!ended) {
      ended = true;
      links.keySet().forEach(FrameLink::close);
      result.accept(new Result(answered, replied, leaderAlive, leaderRefuses, leaderStopped));
    }
  }

  @Override
  public void received(FrameLink link, HostMessage message) {
    if (!ended && message instanceof LeaderQueryReply reply) {
      replied++;
      leaderAlive |= reply.hears();
      leaderStopped |= leader.equals(links.get(link)) && !reply.leads();
      countAnswer(links.get(link));
    }
  }

  @Override
  public void closed(FrameLink link) {
    // A host that closes the link without a reply has not answered; the timeout covers that.
  }
}
