package org.marjoramhoist.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.HostMessage.LeaderQuery;
import org.marjoramhoist.message.HostMessage.LeaderQueryReply;
import org.marjoramhoist.peer.FrameLink;
import org.marjoramhoist.peer.FrameNetwork;

/**
 * Asks hosts over new links whether they hear a leader, and tells how many answered. A host whose
 * port refuses the connection has no process and counts as one that answered. The suspected leader
 * is gone if its port refuses, or if it says itself that it does not lead.
 *
 * <p>Ends once, when all have answered or the time is over. Confined to the loop's thread.
 */
final class LeaderPoll implements FrameLink.Listener {

  /** How long a survey takes at most. */
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
  private boolean leaderStopped;
  private boolean ended;

  /**
   * What the hosts said.
   *
   * @param answered how many answered, or refused the connection
   * @param replied how many answered
   * @param leaderAlive whether any of them hears a leader
   * @param leaderStopped whether the process that led is known to lead no more
   */
  record Result(int answered, int replied, boolean leaderAlive, boolean leaderStopped) {}

  private LeaderPoll(String self, String leader, int enough, Consumer<Result> result) {
    this.self = self;
    this.leader = leader;
    this.requiredAnswers = enough;
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
      EventLoop loop,
      Consumer<Result> result) {
    LeaderPoll survey = new LeaderPoll(self, leader, enough, result);
    survey.polled = addresses.size();
    survey.leaderAnswered = !addresses.containsKey(leader);
    loop.schedule(TIMEOUT_MILLIS, survey::end);
    addresses.forEach(
        (name, address) ->
            network.open(
                address,
                TIMEOUT_MILLIS,
                survey,
                link -> survey.connected(link, name),
                refused -> survey.connectionFailed(refused, name)));
    if (addresses.isEmpty()) {
      loop.execute(survey::end);
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
      countAnswer(name, false, false);
    }
  }

  private void countAnswer(String name, boolean hears, boolean leads) {
    answered++;
    leaderAlive |= hears;
    if (leader.equals(name)) {
      leaderAnswered = true;
      leaderStopped = !leads;
    }
    boolean alive = leaderAlive && leaderAnswered && !leaderStopped;
    boolean enoughAgree =
        (!leaderAlive || leaderStopped) && answered >= Math.min(polled, requiredAnswers);
    if (alive || enoughAgree) {
      end();
    }
  }

  private void end() {
    if (!ended) {
      ended = true;
      links.keySet().forEach(FrameLink::close);
      result.accept(new Result(answered, replied, leaderAlive, leaderStopped));
    }
  }

  @Override
  public void received(FrameLink link, HostMessage message) {
    if (!ended && message instanceof LeaderQueryReply reply) {
      replied++;
      countAnswer(links.get(link), reply.hears(), reply.leads());
    }
  }

  @Override
  public void closed(FrameLink link) {
    // A link that closes early has given no answer; the time-out covers it.
  }
}
