package org.marjoramhoist.entry;

import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.marjoramhoist.dispatch.DispatchEvent.PredecessorHandedOver;
import org.marjoramhoist.dispatch.WorkerInfo;
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
 * This host's role in its failure domain while the domain is isolated: it follows the domain's
 * leader or leads the domain.
 *
 * <p>Invariant: a domain's leader sends orders to workers only while most hosts of its domain
 * confirm its heartbeats and none of these is in contact with the partition's leader; after it has
 * handed over it starts no runs. Confined to the event loop's thread.
 */
final class IsolatedDomainMember implements FrameLink.Listener {

  private static final long TICK_INTERVAL_MILLIS = 25;
  private static final long HEARTBEAT_INTERVAL_MILLIS = 100;

  /** The refusal reason of a leader that hands over; hosts resubmit such jobs to its successor. */
  private static final String HANDED_OVER_REASON = "handed over";

  /** How long after its last heartbeat a domain's leader counts as lost. */
  private static final long LEADER_TIMEOUT_MICROS = 600_000;

  /** How long a hand-over to this host is valid if it is not elected. */
  private static final long HAND_OVER_VALID_MICROS = 1_000_000;

  /** How long this host waits for the results of a leader that has handed over. */
  private static final long FORMER_LEADER_TIMEOUT_MICROS = 1_600_000;

  /** How long links stay open, so that the last messages sent on them arrive. */
  private static final long CLOSE_DELAY_MILLIS = 50;

  private final String self;
  private final EventLoop loop;
  private final DomainElection election;
  private final DomainStateTransfer stateTransfer;
  private final HostRegistration registration;
  private final LeaderTracker leaders;
  private final OpenJobs jobs;
  private final DrainedDomains drained;
  private final Function<Boolean, DomainLeadership> leaderships;
  private final SuspensionDetector suspension;
  private final long runMicros;
  private FrameNetwork network;
  private List<WorkerInfo> workers = List.of();
  private FollowerLinks followers;
  private DomainLeadership leadership;
  private final DomainSuccessorSelector successorSelector = new DomainSuccessorSelector();
  private RemoteLeaderChannel leader;
  private String leaderName = "";
  private long leaderHeartbeatAt;
  private RemoteLeaderChannel formerLeader;
  private long formerLeaderUntil;
  private DomainHandOver receivedHandOver;
  private long handOverReceivedAt;
  private boolean shuttingDown;

  /**
   * Creates a member.
   *
   * @param stateTransfer passes state to hosts that started during the isolation
   * @param drained the drained failure domains, as far as this host knows
   * @param suspension detects that the process was suspended
   * @param runMicros how long a run may go on after the last order of its leader
   * @param leaderships creates a leadership of the domain; its argument is whether a leader that
   *     used the workers has handed over
   */
  IsolatedDomainMember(
      String self,
      EventLoop loop,
      DomainElection election,
      DomainStateTransfer stateTransfer,
      HostRegistration registration,
      LeaderTracker leaders,
      OpenJobs jobs,
      DrainedDomains drained,
      SuspensionDetector suspension,
      long runMicros,
      Function<Boolean, DomainLeadership> leaderships) {
    this.self = self;
    this.loop = loop;
    this.election = election;
    this.stateTransfer = stateTransfer;
    this.registration = registration;
    this.leaders = leaders;
    this.jobs = jobs;
    this.drained = drained;
    this.suspension = suspension;
    this.runMicros = runMicros;
    this.leaderships = leaderships;
    election.setKnowsWorkers(false);
  }

  void start(FrameNetwork peers) {
    network = peers;
    loop.scheduleWithFixedDelay(TICK_INTERVAL_MILLIS, this::tick);
    loop.scheduleWithFixedDelay(HEARTBEAT_INTERVAL_MILLIS, this::sendHeartbeats);
  }

  /** Returns the last known workers of the failure domain. */
  List<WorkerInfo> workers() {
    return workers;
  }

  /** Sets the workers of the failure domain. */
  void setWorkers(List<WorkerInfo> list) {
    workers = List.copyOf(list);
    election.setKnowsWorkers(!workers.isEmpty());
  }

  /** Handles the detection that this host's failure domain is isolated. */
  void domainIsolated() {
    election.setMembers(registration.domainMembers());
    if (election.markIsolated(EventLoop.now())) {
      EventLog.info(LogEvent.DOMAIN_CUT_OFF, "hosts={}", registration.domainMembers().size());
      leaders.domainElectionStarted();
    }
  }

  /** Handles contact with the partition's leader, which may be this host. */
  void partitionLeaderActive() {
    election.partitionLeaderActive(EventLoop.now()).forEach(this::execute);
  }

  /**
   * Starts the shutdown of this host: it hands over as soon as another host can lead the domain.
   */
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
        .selectSuccessor(registration.domainMembers(), EventLoop.now())
        .ifPresent(host -> election.handOver(EventLoop.now(), host).forEach(this::execute));
  }

  private void handOver(String successor) {
    EventLog.info(
        LogEvent.DOMAIN_LEADER_HANDS_OVER, "to={} reason=the host is shutting down", successor);
    boolean usesWorkers = leadership.usesWorkers();
    DomainHandOver toSuccessor =
        new DomainHandOver(
            successor,
            usesWorkers,
            List.copyOf(leadership.possiblyRunningJobs()),
            List.copyOf(leadership.workersWithoutForeignLease()));
    DomainHandOver toOthers = new DomainHandOver(successor, usesWorkers, List.of(), List.of());
    for (String host : followers.connectedHosts()) {
      followers.send(host, host.equals(successor) ? toSuccessor : toOthers);
    }
    // Hosts must learn of the hand-over first, so that they resubmit the refused jobs to the
    // successor.
    leaders.domainLeaderHandedOver();
    leadership.handOver(HANDED_OVER_REASON);
  }

  /** Stops leading, or ends the candidacy, because this host can't lead its domain. */
  void requestStepDown(String reason) {
    election.requestStepDown(EventLoop.now(), reason).forEach(this::execute);
  }

  /** Returns whether this host may send orders to workers as leader of its domain. */
  boolean mayOrder() {
    if (suspension.wasSuspended()) {
      requestStepDown("the process was suspended");
    }
    return election.mayOrder(EventLoop.now());
  }

  /** Returns whether this host leads its domain and may start new runs. */
  boolean mayStart() {
    return election.mayStart(EventLoop.now());
  }

  /** Returns the failure domains whose workers another leader may be using. */
  Set<String> sharedDomains() {
    return election.isExclusive(EventLoop.now(), runMicros)
        ? Set.of()
        : Set.of(registration.failureDomain());
  }

  private void tick() {
    election.tick(EventLoop.now()).forEach(this::execute);
    if (leader != null && EventLoop.now() - leaderHeartbeatAt > LEADER_TIMEOUT_MICROS) {
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
    // Reset before any host confirms a heartbeat: a later suspension invalidates the confirmations.
    suspension.reset();
    followers =
        new FollowerLinks(
            self,
            network,
            registration::reachableInDomain,
            this::handleFollowerMessage,
            this::entryHostLost);
  }

  private void startLeading() {
    if (followers == null) {
      openLinks();
    }
    EventLog.info(LogEvent.DOMAIN_LEADER_ELECTED, "workers={}", workers.size());
    leader = null;
    successorSelector.clear();
    boolean succeedsActiveLeader = hasValidHandOver() && receivedHandOver.usesWorkers();
    leadership = leaderships.apply(succeedsActiveLeader);
    leadership.start(
        hasValidHandOver()
            ? new PredecessorHandedOver(
                Set.copyOf(receivedHandOver.kept()), Set.copyOf(receivedHandOver.workersInUse()))
            : new PredecessorHandedOver(Set.of(), Set.of()));
    leaders.setDomainLeader(new LocalLeaderChannel(leadership));
    sendHeartbeats();
  }

  private boolean hasValidHandOver() {
    return receivedHandOver != null
        && EventLoop.now() - handOverReceivedAt < HAND_OVER_VALID_MICROS;
  }

  /** The channel to this host as leader of its domain. */
  private final class LocalLeaderChannel implements LeaderChannel {
    private final DomainLeadership target;

    private LocalLeaderChannel(DomainLeadership target) {
      this.target = target;
    }

    @Override
    public long term() {
      return target.term();
    }

    @Override
    public void send(HostMessage message) {
      target.handleEntryMessage(self, message);
    }
  }

  private void stopLeading(String reason) {
    if (leadership != null) {
      EventLog.info(LogEvent.DOMAIN_LEADER_STEPPED_DOWN, "reason={}", reason);
      leadership.endTerm(reason);
      leadership = null;
      if (leader == null) {
        leaders.setDomainLeader(null);
      }
      leaders.removeFormerDomainLeader();
    }
    FollowerLinks links = followers;
    followers = null;
    if (links != null) {
      links.stopReceiving();
      loop.schedule(CLOSE_DELAY_MILLIS, links::close);
    }
  }

  private void sendHeartbeats() {
    if (followers != null && !election.isHandingOver()) {
      followers.sendHeartbeats(
          new DomainHeartbeat(
              self,
              registration.failureDomain(),
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
      if (leadership != null && followers.isFoundAnew(host, reply.leaderFoundBy())) {
        leadership.entryHostReconnected(host, reply.leaderFoundBy());
      }
      drained.requestIfNewer(reply.drainRevision(), query -> sendTo(host, query));
      if (reply.lacksState()) {
        sendTo(host, stateTransfer.currentState(workers));
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

  private void entryHostLost(String host) {
    if (leadership != null) {
      leadership.entryHostLost(host);
    }
  }

  /** Delivers the result of a job to the host whose caller waits for it. */
  void deliver(String host, HostMessage answer) {
    if (host.equals(self)) {
      handleAnswer(answer);
    } else {
      sendTo(host, answer);
    }
  }

  private void handleAnswer(HostMessage answer) {
    if (answer instanceof Finished result) {
      if (result.outcome() == JobOutcome.REFUSED && result.reason().equals(HANDED_OVER_REASON)) {
        jobs.releasedByDomainLeader(result);
      } else {
        jobs.finishedByDomainLeader(result);
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
    } else if (isLeaderLink(link) || isFormerLeader(link)) {
      handleAnswer(message);
    }
  }

  /** Returns whether a message on a link is handled by this class. */
  boolean handles(FrameLink link, HostMessage message) {
    return isLeaderLink(link)
        || isFormerLeader(link)
        || message instanceof DomainState
        || message instanceof DomainHandOver
        || message instanceof DomainWorkers
        || message instanceof DomainHeartbeat;
  }

  private void heartbeatReceived(FrameLink link, DomainHeartbeat heartbeat) {
    if (registration.storeHasEverResponded()) {
      election.markStoreReached();
    }
    boolean sameDomain = registration.failureDomain().equals(heartbeat.failureDomain());
    boolean accepted = sameDomain && election.acceptCandidate(EventLoop.now(), heartbeat.host());
    drained.requestIfNewer(heartbeat.drainRevision(), link::send);
    link.send(
        new DomainHeartbeatReply(
            accepted,
            election.mayLead(),
            sameDomain && (stateTransfer.needsState() || workers.isEmpty()),
            drained.revision(),
            heartbeat.sentAt(),
            isLeaderLink(link) ? leader.foundBy() : 0));
    if (isLeaderLink(link)) {
      leader.heartbeatReceived(heartbeat.sentAt());
      leaderHeartbeatAt = EventLoop.now();
    } else if (accepted && heartbeat.leads()) {
      follow(link, heartbeat);
    }
  }

  private void adoptState(DomainState state) {
    if (stateTransfer.adopt(state) || workers.isEmpty()) {
      setWorkers(state.workers());
    }
  }

  /**
   * Handles the leader's hand-over; the leader still reports the results of the jobs that it has.
   */
  private void leaderHandedOver(FrameLink link, DomainHandOver handOver) {
    if (!isLeaderLink(link)) {
      return;
    }
    dropFormerLeader();
    formerLeader = leader;
    formerLeaderUntil = EventLoop.now() + FORMER_LEADER_TIMEOUT_MICROS;
    leader = null;
    leaders.domainLeaderHandedOver();
    if (handOver.successor().equals(self)) {
      receivedHandOver = handOver;
      handOverReceivedAt = EventLoop.now();
    }
    election
        .leaderHandedOver(EventLoop.now(), leaderName, handOver.successor())
        .forEach(this::execute);
  }

  private boolean isLeaderLink(FrameLink link) {
    return leader != null && leader.link() == link;
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

  private void follow(FrameLink link, DomainHeartbeat heartbeat) {
    EventLog.info(LogEvent.DOMAIN_LEADER_FOUND, "leader={} link={}", heartbeat.host(), link.id());
    leader = new RemoteLeaderChannel(0, link, heartbeat.sentAt());
    leaderName = heartbeat.host();
    leaderHeartbeatAt = EventLoop.now();
    leaders.setDomainLeader(leader);
  }

  private void dropLeader() {
    leader = null;
    leaders.setDomainLeader(null);
  }

  @Override
  public void closed(FrameLink link) {
    if (isLeaderLink(link)) {
      dropLeader();
    } else if (isFormerLeader(link)) {
      dropFormerLeader();
    }
  }
}
