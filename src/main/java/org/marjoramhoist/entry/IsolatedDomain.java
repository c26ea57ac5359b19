package org.marjoramhoist.entry;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.lead.DomainAction;
import org.marjoramhoist.lead.DomainElection;
import org.marjoramhoist.lead.HostCapacity;
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
final class IsolatedDomain implements FrameLink.Listener {

  private static final long TICK_MILLIS = 25;
  private static final long HEARTBEAT_MILLIS = 100;

  /** Why a leader that hands over refuses what has not begun: its successor is to have it. */
  private static final String HANDED_OVER = "handed over";

  /** How long a domain's leader may be silent before jobs are no longer with it. */
  private static final long SILENCE_MICROS = 600_000;

  /** How long a hand-over to this host counts, if it is not elected before. */
  private static final long HANDED_OVER_MICROS = 1_000_000;

  /** How long a leader that has handed over may take to tell the ends of its jobs. */
  private static final long FORMER_MICROS = 1_600_000;

  /** How long a follower that does not answer counts as one that may take over. */
  private static final long FOLLOWS_MICROS = 300_000;

  /** How long links stay open after the last answers were sent on them. */
  private static final long LINGER_MILLIS = 50;

  private final String self;
  private final Loop loop;
  private final DomainElection election;
  private final DomainKnowledge knowledge;
  private final StoreLink store;
  private final LeaderReach reach;
  private final OpenJobs jobs;
  private final DrainedDomains drained;
  private final Function<Boolean, DomainDuty> duties;
  private final SuspensionDetector suspension;
  private FrameNetwork network;
  private List<WorkerInfo> workers = List.of();
  private FollowerLinks followers;
  private DomainDuty duty;
  private final Map<String, Long> mayTakeOver = new HashMap<>();
  private FrameLink leaderLink;
  private String leaderName = "";
  private long leaderHeardAt;
  private LinkPort former;
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
  IsolatedDomain(
      String self,
      Loop loop,
      DomainElection election,
      DomainKnowledge knowledge,
      StoreLink store,
      LeaderReach reach,
      OpenJobs jobs,
      DrainedDomains drained,
      SuspensionDetector suspension,
      Function<Boolean, DomainDuty> duties) {
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
    loop.every(TICK_MILLIS, this::tick);
    loop.every(HEARTBEAT_MILLIS, this::beat);
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
    if (election.isolated(Loop.now())) {
      EventLog.info(LogEvent.DOMAIN_CUT_OFF, "hosts={}", store.domainMembers().size());
      reach.domainElectionBegins();
    }
  }

  /** Takes in that the partition's leader was heard, or that this host leads the partition. */
  void partitionLeaderHeard() {
    election.partitionLeaderHeard(Loop.now()).forEach(this::run);
  }

  /** Takes in that this host stops: it hands over as soon as another one can lead the domain. */
  void retire() {
    retiring = true;
    election.retire();
    handOverIfDue();
  }

  private void handOverIfDue() {
    if (!retiring || !election.isLeading()) {
      return;
    }
    successor().ifPresent(host -> election.handOver(Loop.now(), host).forEach(this::run));
  }

  /** Returns the host that could carry most of those that follow and are not stopping. */
  private Optional<String> successor() {
    long now = Loop.now();
    Map<String, HostCapacity> members = store.domainMembers();
    return mayTakeOver.entrySet().stream()
        .filter(each -> now - each.getValue() < FOLLOWS_MICROS)
        .map(Map.Entry::getKey)
        .filter(members::containsKey)
        .max(
            Comparator.<String, HostCapacity>comparing(members::get)
                .thenComparing(Comparator.reverseOrder()));
  }

  private void handOver(String successor) {
    EventLog.info(LogEvent.DOMAIN_LEADER_HANDS_OVER, "to={} reason=the host stops", successor);
    boolean uses = duty.usesWorkers();
    List<JobId> kept = List.copyOf(duty.jobsAtWork());
    for (String host : followers.linked()) {
      followers.send(
          host, new DomainHandOver(successor, uses, host.equals(successor) ? kept : List.of()));
    }
    // Hosts hear of the hand-over first, so that they keep what is refused for the successor.
    reach.releaseDomainLeader();
    duty.handOver(HANDED_OVER);
  }

  /** Takes in that this host can't lead its domain. */
  void mustStepDown(String reason) {
    election.mustStepDown(Loop.now(), reason).forEach(this::run);
  }

  /** Tells whether this host leads its domain and may order anything now. */
  boolean mayOrder() {
    if (suspension.wasSuspended()) {
      mustStepDown("the process was suspended");
    }
    return election.mayOrder(Loop.now());
  }

  /** Tells whether this host leads its domain and may start new runs now. */
  boolean mayStart() {
    return election.mayStart(Loop.now());
  }

  private void tick() {
    election.tick(Loop.now()).forEach(this::run);
    if (leaderLink != null && Loop.now() - leaderHeardAt > SILENCE_MICROS) {
      dropLeader();
    }
    if (former != null && Loop.now() > formerUntil) {
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
    suspension.restart();
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
    mayTakeOver.clear();
    boolean succeeds = isHandedOver() && handedOver.usesWorkers();
    duty = duties.apply(succeeds);
    duty.start(isHandedOver() ? Set.copyOf(handedOver.kept()) : Set.of());
    reach.setDomainLeader(new OwnPort(duty));
    beat();
  }

  private boolean isHandedOver() {
    return handedOver != null && Loop.now() - handedOverAt < HANDED_OVER_MICROS;
  }

  /** The way to this host as leader of its domain. */
  private final class OwnPort implements LeaderPort {
    private final DomainDuty target;

    private OwnPort(DomainDuty target) {
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
      reach.forgetReleased();
    }
    FollowerLinks links = followers;
    followers = null;
    if (links != null) {
      loop.after(LINGER_MILLIS, links::close);
    }
  }

  private void beat() {
    if (followers != null && !election.isReleasing()) {
      followers.beat(
          new DomainHeartbeat(
              self, store.failureDomain(), duty != null, drained.revision(), Loop.now()));
      handOverIfDue();
    }
  }

  private void fromFollower(String host, HostMessage message) {
    if (drained.received(message, answer -> sendTo(host, answer))) {
      return;
    }
    if (message instanceof DomainHeartbeatReply reply) {
      drained.compare(reply.drainRevision(), query -> sendTo(host, query));
      if (reply.lacksState()) {
        followers.send(host, knowledge.state(workers));
      }
      if (reply.accepts() && reply.mayLead()) {
        mayTakeOver.put(host, Loop.now());
      } else {
        mayTakeOver.remove(host);
      }
      if (reply.accepts()) {
        election.confirmed(Loop.now(), host, reply.heartbeatSentAt()).forEach(this::run);
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
        jobs.returnedByDomainLeader(end.job());
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
    if (store.hasAnswered()) {
      election.storeReached();
    }
    boolean ofDomain = store.failureDomain().equals(heartbeat.failureDomain());
    boolean accepted = ofDomain && election.accepts(Loop.now(), heartbeat.host());
    drained.compare(heartbeat.drainRevision(), link::send);
    link.send(
        new DomainHeartbeatReply(
            accepted,
            !retiring,
            ofDomain && knowledge.isLacking(),
            drained.revision(),
            heartbeat.sentAt()));
    if (link == leaderLink) {
      leaderHeardAt = Loop.now();
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
    former = (LinkPort) reach.domainLeader();
    formerUntil = Loop.now() + FORMER_MICROS;
    leaderLink = null;
    reach.releaseDomainLeader();
    if (handOver.successor().equals(self)) {
      handedOver = handOver;
      handedOverAt = Loop.now();
    }
    election.released(Loop.now(), leaderName, handOver.successor()).forEach(this::run);
  }

  private boolean isFormer(FrameLink link) {
    return former != null && former.link() == link;
  }

  private void dropFormer() {
    if (former != null) {
      former = null;
      reach.forgetReleased();
    }
  }

  private void follow(FrameLink link, String host) {
    EventLog.info(LogEvent.DOMAIN_LEADER_FOUND, "leader={}", host);
    leaderLink = link;
    leaderName = host;
    leaderHeardAt = Loop.now();
    reach.setDomainLeader(new LinkPort(0, link));
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
