package org.marjoramhoist.entry;

import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.lead.DomainAction;
import org.marjoramhoist.lead.DomainElection;
import org.marjoramhoist.lead.SuccessorChoice;
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
  private static final String HANDED_OVER = "handed over";

  /** How long a domain's leader may be silent before jobs are no longer with it. */
  private static final long SILENCE_MICROS = 600_000;

  /** How long a hand-over to this host is valid while it is not elected. */
  private static final long HANDED_OVER_MICROS = 1_000_000;

  /** How long this host waits for a leader that has handed over to tell the ends of its jobs. */
  private static final long FORMER_MICROS = 1_600_000;

  /** How long links stay open after the last answers were sent on them. */
  private static final long LINGER_MILLIS = 50;

  private final String self;
  private final EventLoop loop;
  private final DomainElection election;
  private final DomainStateTransfer knowledge;
  private final HostRegistration store;
  private final LeaderTracker reach;
  private final OpenJobs jobs;
  private final DrainedDomains drained;
  private final Function<Boolean, DomainLeadership> duties;
  private final SuspensionDetector suspension;
  private FrameNetwork network;
  private List<WorkerInfo> workers = List.of();
  private FollowerLinks followers;
  private DomainLeadership duty;
  private final SuccessorChoice successors = new SuccessorChoice();
  private FrameLink leaderLink;
  private String leaderName = "";
  private long leaderHeardAt;
  private RemoteLeaderChannel former;
  private long formerUntil;
  private DomainHandOver handedOver;
  private long handedOverAt;
  private boolean retiring;

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
    this.knowledge = knowledge;
    this.store = store;
    this.reach = reach;
    this.jobs = jobs;
    this.drained = drained;
    this.suspension = suspension;
    this.duties = duties;
  }

  void start(FrameNetwork peers) {
    network = peers;
    loop.scheduleWithFixedDelay(TICK_MILLIS, this::tick);
    loop.scheduleWithFixedDelay(HEARTBEAT_MILLIS, this::beat);
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
  void isolated() {
    election.membersSeen(store.domainMembers());
    if (election.isolated(EventLoop.now())) {
      EventLog.info(LogEvent.DOMAIN_CUT_OFF, "hosts={}", store.domainMembers().size());
      reach.domainElectionStarted();
    }
  }

  /** Takes in that the partition's leader was heard, or that this host leads the partition. */
  void partitionLeaderHeard() {
    election.partitionLeaderHeard(EventLoop.now()).forEach(this::run);
  }

  /** Takes in that this host stops: it hands over as soon as another one can lead the domain. */
  void beginShutdown() {
    retiring = true;
    election.beginShutdown();
    handOverIfDue();
  }

  private void handOverIfDue() {
    if (!retiring || !election.isLeading()) {
      return;
    }
    successors
        .choose(store.domainMembers(), EventLoop.now())
        .ifPresent(host -> election.handOver(EventLoop.now(), host).forEach(this::run));
  }

  private void handOver(String successor) {
    EventLog.info(LogEvent.DOMAIN_LEADER_HANDS_OVER, "to={} reason=the host stops", successor);
    boolean uses = duty.usesWorkers();
    List<JobId> kept = List.copyOf(duty.possiblyRunningJobs());
    for (String host : followers.connectedHosts()) {
      followers.send(
          host, new DomainHandOver(successor, uses, host.equals(successor) ? kept : List.of()));
    }
    // Hosts hear of the hand-over first, so that they keep what is refused for the successor.
    reach.domainLeaderHandedOver();
    duty.handOver(HANDED_OVER);
  }

  /** Takes in that this host can't lead its domain. */
  void requestStepDown(String reason) {
    election.mustStepDown(EventLoop.now(), reason).forEach(this::run);
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
    election.tick(EventLoop.now()).forEach(this::run);
    if (leaderLink != null && EventLoop.now() - leaderHeardAt > SILENCE_MICROS) {
      dropLeader();
    }
    if (former != null && EventLoop.now() > formerUntil) {
      dropFormer();
    }
  }

  private void run(DomainAction action) {
    if (action instanceof DomainAction.Stand) {
      openLinks();
      beat();
    } else if (action instanceof DomainAction.Lead) {
      lead();
    } else if (action instanceof DomainAction.HandOver handOver) {
      handOver(handOver.successor());
    } else if (action instanceof DomainAction.StepDown stepDown) {
      stepDown(stepDown.reason());
    }
  }

  private void openLinks() {
    // Before any host confirms anything: a suspension from here on ends what they confirmed.
    suspension.reset();
    followers =
        new FollowerLinks(
            self, network, store::reachableInDomain, this::fromFollower, this::entryLost);
  }

  private void lead() {
    if (followers == null) {
      openLinks();
    }
    EventLog.info(LogEvent.DOMAIN_LEADER_ELECTED, "workers={}", workers.size());
    leaderLink = null;
    successors.clear();
    boolean succeeds = isHandedOver() && handedOver.usesWorkers();
    duty = duties.apply(succeeds);
    duty.start(isHandedOver() ? Set.copyOf(handedOver.kept()) : Set.of());
    reach.setDomainLeader(new OwnPort(duty));
    beat();
  }

  private boolean isHandedOver() {
    return handedOver != null && EventLoop.now() - handedOverAt < HANDED_OVER_MICROS;
  }

  /** The way to this host as leader of its domain. */
  private final class OwnPort implements LeaderChannel {
    private final DomainLeadership target;

    private OwnPort(DomainLeadership target) {
      this.target = target;
    }

    @Override
    public long term() {
      return target.term();
    }

    @Override
    public void send(HostMessage message) {
      target.fromEntry(self, message);
    }
  }

  private void stepDown(String reason) {
    if (duty != null) {
      EventLog.info(LogEvent.DOMAIN_LEADER_STEPPED_DOWN, "reason={}", reason);
      duty.end(reason);
      duty = null;
      if (leaderLink == null) {
        reach.setDomainLeader(null);
      }
      reach.removeFormerDomainLeader();
    }
    FollowerLinks links = followers;
    followers = null;
    if (links != null) {
      loop.schedule(LINGER_MILLIS, links::close);
    }
  }

  private void beat() {
    if (followers != null && !election.isReleasing()) {
      followers.sendHeartbeats(
          new DomainHeartbeat(
              self, store.failureDomain(), duty != null, drained.revision(), EventLoop.now()));
      handOverIfDue();
    }
  }

  private void fromFollower(String host, HostMessage message) {
    if (drained.handleMessage(message, answer -> sendTo(host, answer))) {
      return;
    }
    if (message instanceof DomainHeartbeatReply reply) {
      drained.requestIfNewer(reply.drainRevision(), query -> sendTo(host, query));
      if (reply.lacksState()) {
        followers.send(host, knowledge.state(workers));
      }
      successors.replied(host, reply.accepts() && reply.mayLead(), EventLoop.now());
      if (reply.accepts()) {
        election.confirmed(EventLoop.now(), host, reply.heartbeatSentAt()).forEach(this::run);
      }
    } else if (duty != null) {
      duty.fromEntry(host, message);
    }
  }

  private void sendTo(String host, HostMessage message) {
    if (followers != null) {
      followers.send(host, message);
    }
  }

  private void entryLost(String host) {
    if (duty != null) {
      duty.entryLost(host);
    }
  }

  /** Delivers the end of a job to the host whose caller waits for it. */
  void deliver(String host, HostMessage answer) {
    if (host.equals(self)) {
      answered(answer);
    } else {
      sendTo(host, answer);
    }
  }

  private void answered(HostMessage answer) {
    if (answer instanceof Finished end) {
      if (end.outcome() == JobOutcome.REFUSED && end.reason().equals(HANDED_OVER)) {
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
      heard(link, heartbeat);
    } else if (message instanceof DomainState state) {
      learn(state);
    } else if (message instanceof DomainHandOver handOver) {
      released(link, handOver);
    } else if (link == leaderLink || isFormer(link)) {
      answered(message);
    }
  }

  /** Tells whether a message on a link is for the domain. */
  boolean isFor(FrameLink link, HostMessage message) {
    return link == leaderLink
        || isFormer(link)
        || message instanceof DomainState
        || message instanceof DomainHandOver
        || message instanceof DomainWorkers
        || message instanceof DomainHeartbeat;
  }

  private void heard(FrameLink link, DomainHeartbeat heartbeat) {
    if (store.storeHasEverResponded()) {
      election.storeReached();
    }
    boolean ofDomain = store.failureDomain().equals(heartbeat.failureDomain());
    boolean accepted = ofDomain && election.accepts(EventLoop.now(), heartbeat.host());
    drained.requestIfNewer(heartbeat.drainRevision(), link::send);
    link.send(
        new DomainHeartbeatReply(
            accepted,
            !retiring,
            ofDomain && knowledge.isLacking(),
            drained.revision(),
            heartbeat.sentAt()));
    if (link == leaderLink) {
      leaderHeardAt = EventLoop.now();
    } else if (accepted && heartbeat.leads()) {
      follow(link, heartbeat.host());
    }
  }

  private void learn(DomainState state) {
    if (knowledge.adopt(state)) {
      setWorkers(state.workers());
    }
  }

  /** Takes in that the leader hands over: its jobs stay with it until it has told their ends. */
  private void released(FrameLink link, DomainHandOver handOver) {
    if (link != leaderLink) {
      return;
    }
    dropFormer();
    former = (RemoteLeaderChannel) reach.domainLeader();
    formerUntil = EventLoop.now() + FORMER_MICROS;
    leaderLink = null;
    reach.domainLeaderHandedOver();
    if (handOver.successor().equals(self)) {
      handedOver = handOver;
      handedOverAt = EventLoop.now();
    }
    election.released(EventLoop.now(), leaderName, handOver.successor()).forEach(this::run);
  }

  private boolean isFormer(FrameLink link) {
    return former != null && former.link() == link;
  }

  private void dropFormer() {
    if (former != null) {
      former = null;
      reach.removeFormerDomainLeader();
    }
  }

  private void follow(FrameLink link, String host) {
    EventLog.info(LogEvent.DOMAIN_LEADER_FOUND, "leader={}", host);
    leaderLink = link;
    leaderName = host;
    leaderHeardAt = EventLoop.now();
    reach.setDomainLeader(new RemoteLeaderChannel(0, link));
  }

  private void dropLeader() {
    leaderLink = null;
    reach.setDomainLeader(null);
  }

  @Override
  public void closed(FrameLink link) {
    if (link == leaderLink) {
      dropLeader();
    } else if (isFormer(link)) {
      dropFormer();
    }
  }
}
