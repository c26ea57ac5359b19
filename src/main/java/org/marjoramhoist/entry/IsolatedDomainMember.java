package org.marjoramhoist.entry;

import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.lead.DomainAction;
import org.marjoramhoist.lead.DomainElection;
import org.marjoramhoist.lead.DomainSuccessorSelector;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.HostMessage.DomainHandOver;
import org.marjoramhoist.message.HostMessage.DomainHeartbeat;
import org.marjoramhoist.message.HostMessage.DomainHeartbeatReply;
import org.marjoramhoist.message.HostMessage.DomainState;
import org.marjoramhoist.message.HostMessage.DomainWorkers;
import org.marjoramhoist.message.HostMessage.Finished;
import org.marjoramhoist.peer.FrameLink;
import org.marjoramhoist.peer.FrameNetwork;

/**
 * This host's part in its failure domain while that is cut off: follows the domain's leader, or
 * leads.
 *
 * <p>Invariant: a domain's leader orders runs only while it hears most hosts of its domain and none
 * of them hears the partition's leader; after it has handed over it starts none. Confined to the
 * loop's thread.
 */
final class IsolatedDomainMember implements FrameLink.Listener {

  private static final long TICK_MILLIS = 25;
  private static final long HEARTBEAT_MILLIS = 100;

  /** The reason of refusals by a leader that hands over; hosts send such jobs to its successor. */
  private static final String HANDED_OVER_REASON = "handed over";

  /** How long a domain's leader may be silent before jobs are no longer with it. */
  private static final long LEADER_TIMEOUT_MICROS = 600_000;

  /** How long a hand-over to this host is valid while it is not elected. */
  private static final long HAND_OVER_VALID_MICROS = 1_000_000;

  /** How long this host waits for a leader that has handed over to tell the ends of its jobs. */
  private static final long FORMER_LEADER_TIMEOUT_MICROS = 1_600_000;

  /** How long links stay open after the last answers were sent on them. */
  private static final long CLOSE_DELAY_MILLIS = 50;

  private final String self;
  private final EventLoop loop;
  private final DomainElection election;
  private final DomainStateTransfer stateTransfer;
  private final HostRegistration store;
  private final LeaderTracker leaders;
  private final OpenJobs jobs;
  private final DrainedDomains drained;
  private final Function<Boolean, DomainLeadership> leaderships;
  private final SuspensionDetector suspension;
  private FrameNetwork network;
  private List<WorkerInfo> workers = List.of();
  private FollowerLinks followers;
  private DomainLeadership leadership;
  private final DomainSuccessorSelector successorSelector = new DomainSuccessorSelector();
  private FrameLink leaderLink;
  private String leaderName = "";
  private long leaderHeartbeatAt;
  private RemoteLeaderChannel formerLeader;
  private long formerLeaderUntil;
  private DomainHandOver receivedHandOver;
  private long handOverReceivedAt;
  private boolean shuttingDown;

  /**
   * Creates a host's part.
   *
   * @param knowledge what a host that has started behind the cut is told
   * @param drained which failure domains are drained, as this host knows
   * @param suspension finds out that the process stood still
   * @param duties makes a term of leading the domain, told whether it was handed over
   */
  IsolatedDomainMember(
      String self,
      EventLoop loop,
      DomainElection election,
      DomainStateTransfer knowledge,
      HostRegistration store,
      LeaderTracker reach,
      OpenJobs jobs,
      DrainedDomains drained,
      SuspensionDetector suspension,
      Function<Boolean, DomainLeadership> duties) {
    this.self = self;
    this.loop = loop;
    this.election = election;
    this.stateTransfer = knowledge;
    this.store = store;
    this.leaders = reach;
    this.jobs = jobs;
    this.drained = drained;
    this.suspension = suspension;
    this.leaderships = duties;
  }

  void start(FrameNetwork peers) {
    network = peers;
    loop.scheduleWithFixedDelay(TICK_MILLIS, this::tick);
    loop.scheduleWithFixedDelay(HEARTBEAT_MILLIS, this::sendHeartbeats);
  }

  /** Returns the workers of the failure domain, as this host last heard of them. */
  List<WorkerInfo> workers() {
    return workers;
  }

  /** Takes in the workers of the failure domain. */
  void setWorkers(List<WorkerInfo> list) {
    workers = List.copyOf(list);
  }

  /** Takes in that this host reaches neither most hosts nor the store. */
  void domainIsolated() {
    election.setMembers(store.domainMembers());
    if (election.markIsolated(EventLoop.now())) {
      EventLog.info(LogEvent.DOMAIN_CUT_OFF, "hosts={}", store.domainMembers().size());
      leaders.domainElectionStarted();
    }
  }

  /** Takes in that the partition's leader was heard, or that this host leads the partition. */
  void partitionLeaderActive() {
    election.partitionLeaderActive(EventLoop.now()).forEach(this::execute);
  }

  /** Takes in that this host stops: it hands over as soon as another one can lead the domain. */
  void beginShutdown() {
    shuttingDown = true;
    election.beginShutdown();
    handOverIfDue();
  }

  private void handOverIfDue() {
    if (!shuttingDown || !election.isLeading()) {
      return;
    }
    successorSelector
        .choose(store.domainMembers(), EventLoop.now())
        .ifPresent(host -> election.handOver(EventLoop.now(), host).forEach(this::execute));
  }

  private void handOver(String successor) {
    EventLog.info(LogEvent.DOMAIN_LEADER_HANDS_OVER, "to={} reason=the host stops", successor);
    boolean uses = leadership.usesWorkers();
    List<JobId> kept = List.copyOf(leadership.possiblyRunningJobs());
    for (String host : followers.connectedHosts()) {
      followers.send(
          host, new DomainHandOver(successor, uses, host.equals(successor) ? kept : List.of()));
    }
    // Hosts hear of the hand-over first, so that they keep what is refused for the successor.
    leaders.domainLeaderHandedOver();
    leadership.handOver(HANDED_OVER_REASON);
  }

  /** Takes in that this host can't lead its domain. */
  void requestStepDown(String reason) {
    election.requestStepDown(EventLoop.now(), reason).forEach(this::execute);
  }

  /** Tells whether this host leads its domain and may order anything now. */
  boolean mayOrder() {
    if (suspension.wasSuspended()) {
      requestStepDown("the process was suspended");
    }
    return election.mayOrder(EventLoop.now());
  }

  /** Tells whether this host leads its domain and may start new runs now. */
  boolean mayStart() {
    return election.mayStart(EventLoop.now());
  }

  private void tick() {
    election.tick(EventLoop.now()).forEach(this::execute);
    if (leaderLink != null && EventLoop.now() - leaderHeartbeatAt > LEADER_TIMEOUT_MICROS) {
      dropLeader();
    }
    if (formerLeader != null && EventLoop.now() > formerLeaderUntil) {
      dropFormerLeader();
    }
  }

  private void execute(DomainAction action) {
    if (action instanceof DomainAction.StartCandidacy) {
      openLinks();
      sendHeartbeats();
    } else if (action instanceof DomainAction.BecomeLeader) {
      startLeading();
    } else if (action instanceof DomainAction.HandOver handOver) {
      handOver(handOver.successor());
    } else if (action instanceof DomainAction.StepDown stepDown) {
      stopLeading(stepDown.reason());
    }
  }

  private void openLinks() {
    // Before any host confirms anything: a suspension from here on ends what they confirmed.
    suspension.reset();
    followers =
        new FollowerLinks(
            self, network, store::reachableInDomain, this::handleFollowerMessage, this::entryLost);
  }

  private void startLeading() {
    if (followers == null) {
      openLinks();
    }
    EventLog.info(LogEvent.DOMAIN_LEADER_ELECTED, "workers={}", workers.size());
    leaderLink = null;
    successorSelector.clear();
    boolean succeeds = hasValidHandOver() && receivedHandOver.usesWorkers();
    leadership = leaderships.apply(succeeds);
    leadership.start(hasValidHandOver() ? Set.copyOf(receivedHandOver.kept()) : Set.of());
    leaders.setDomainLeader(new LocalLeaderChannel(leadership));
    sendHeartbeats();
  }

  private boolean hasValidHandOver() {
    return receivedHandOver != null
        && EventLoop.now() - handOverReceivedAt < HAND_OVER_VALID_MICROS;
  }

  /** The way to this host as leader of its domain. */
  private final class LocalLeaderChannel implements LeaderChannel {
    private final DomainLeadership leadership;

    private LocalLeaderChannel(DomainLeadership target) {
      this.leadership = target;
    }

    @Override
    public long term() {
      return leadership.term();
    }

    @Override
    public void send(HostMessage message) {
      leadership.handleEntryMessage(self, message);
    }
  }

  private void stopLeading(String reason) {
    if (leadership != null) {
      EventLog.info(LogEvent.DOMAIN_LEADER_STEPPED_DOWN, "reason={}", reason);
      leadership.endTerm(reason);
      leadership = null;
      if (leaderLink == null) {
        leaders.setDomainLeader(null);
      }
      leaders.removeFormerDomainLeader();
    }
    FollowerLinks links = followers;
    followers = null;
    if (links != null) {
      loop.schedule(CLOSE_DELAY_MILLIS, links::close);
    }
  }

  private void sendHeartbeats() {
    if (followers != null && !election.isHandingOver()) {
      followers.sendHeartbeats(
          new DomainHeartbeat(
              self,
              store.failureDomain(),
              leadership != null,
              drained.revision(),
              EventLoop.now()));
      handOverIfDue();
    }
  }

  private void handleFollowerMessage(String host, HostMessage message) {
    if (drained.handleMessage(message, answer -> sendTo(host, answer))) {
      return;
    }
    if (message instanceof DomainHeartbeatReply reply) {
      drained.requestIfNewer(reply.drainRevision(), query -> sendTo(host, query));
      if (reply.lacksState()) {
        followers.send(host, stateTransfer.currentState(workers));
      }
      successorSelector.followerReplied(host, reply.accepts() && reply.mayLead(), EventLoop.now());
      if (reply.accepts()) {
        election
            .heartbeatAccepted(EventLoop.now(), host, reply.heartbeatSentAt())
            .forEach(this::execute);
      }
    } else if (leadership != null) {
      leadership.handleEntryMessage(host, message);
    }
  }

  private void sendTo(String host, HostMessage message) {
    if (followers != null) {
      followers.send(host, message);
    }
  }

  private void entryLost(String host) {
    if (leadership != null) {
      leadership.entryLost(host);
    }
  }

  /** Delivers the end of a job to the host whose caller waits for it. */
  void deliver(String host, HostMessage answer) {
    if (host.equals(self)) {
      handleAnswer(answer);
    } else {
      sendTo(host, answer);
    }
  }

  private void handleAnswer(HostMessage answer) {
    if (answer instanceof Finished end) {
      if (end.outcome() == JobOutcome.REFUSED && end.reason().equals(HANDED_OVER_REASON)) {
        jobs.releasedByDomainLeader(end.job());
      } else {
        jobs.finishedByDomainLeader(end);
      }
    }
  }

  @Override
  public void received(FrameLink link, HostMessage message) {
    if (message instanceof DomainWorkers list) {
      setWorkers(list.workers());
    } else if (message instanceof DomainHeartbeat heartbeat) {
      heartbeatReceived(link, heartbeat);
    } else if (message instanceof DomainState state) {
      adoptState(state);
    } else if (message instanceof DomainHandOver handOver) {
      leaderHandedOver(link, handOver);
    } else if (link == leaderLink || isFormerLeader(link)) {
      handleAnswer(message);
    }
  }

  /** Tells whether a message on a link is for the domain. */
  boolean handles(FrameLink link, HostMessage message) {
    return link == leaderLink
        || isFormerLeader(link)
        || message instanceof DomainState
        || message instanceof DomainHandOver
        || message instanceof DomainWorkers
        || message instanceof DomainHeartbeat;
  }

  private void heartbeatReceived(FrameLink link, DomainHeartbeat heartbeat) {
    if (store.storeHasEverResponded()) {
      election.markStoreReached();
    }
    boolean ofDomain = store.failureDomain().equals(heartbeat.failureDomain());
    boolean accepted = ofDomain && election.acceptCandidate(EventLoop.now(), heartbeat.host());
    drained.requestIfNewer(heartbeat.drainRevision(), link::send);
    link.send(
        new DomainHeartbeatReply(
            accepted,
            !shuttingDown,
            ofDomain && stateTransfer.needsState(),
            drained.revision(),
            heartbeat.sentAt()));
    if (link == leaderLink) {
      leaderHeartbeatAt = EventLoop.now();
    } else if (accepted && heartbeat.leads()) {
      follow(link, heartbeat.host());
    }
  }

  private void adoptState(DomainState state) {
    if (stateTransfer.adopt(state)) {
      setWorkers(state.workers());
    }
  }

  /** Takes in that the leader hands over: its jobs stay with it until it has told their ends. */
  private void leaderHandedOver(FrameLink link, DomainHandOver handOver) {
    if (link != leaderLink) {
      return;
    }
    dropFormerLeader();
    formerLeader = (RemoteLeaderChannel) leaders.domainLeader();
    formerLeaderUntil = EventLoop.now() + FORMER_LEADER_TIMEOUT_MICROS;
    leaderLink = null;
    leaders.domainLeaderHandedOver();
    if (handOver.successor().equals(self)) {
      receivedHandOver = handOver;
      handOverReceivedAt = EventLoop.now();
    }
    election
        .leaderHandedOver(EventLoop.now(), leaderName, handOver.successor())
        .forEach(this::execute);
  }

  private boolean isFormerLeader(FrameLink link) {
    return formerLeader != null && formerLeader.link() == link;
  }

  private void dropFormerLeader() {
    if (formerLeader != null) {
      formerLeader = null;
      leaders.removeFormerDomainLeader();
    }
  }

  private void follow(FrameLink link, String host) {
    EventLog.info(LogEvent.DOMAIN_LEADER_FOUND, "leader={}", host);
    leaderLink = link;
    leaderName = host;
    leaderHeartbeatAt = EventLoop.now();
    leaders.setDomainLeader(new RemoteLeaderChannel(0, link));
  }

  private void dropLeader() {
    leaderLink = null;
    leaders.setDomainLeader(null);
  }

  @Override
  public void closed(FrameLink link) {
    if (link == leaderLink) {
      dropLeader();
    } else if (isFormerLeader(link)) {
      dropFormerLeader();
    }
  }
}
