package org.marjoramhoist.entry;

import java.util.List;
import java.util.function.Supplier;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.lead.DomainAction;
import org.marjoramhoist.lead.DomainElection;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.HostMessage.DomainHeartbeat;
import org.marjoramhoist.message.HostMessage.DomainHeartbeatReply;
import org.marjoramhoist.message.HostMessage.DomainWorkers;
import org.marjoramhoist.message.HostMessage.Finished;
import org.marjoramhoist.peer.FrameLink;
import org.marjoramhoist.peer.FrameNetwork;

/**
 * This host's part in its failure domain while that is cut off: follows the domain's leader, or
 * leads.
 *
 * <p>Invariant: a domain's leader orders runs only while it hears most hosts of its domain and none
 * of them hears the partition's leader. Confined to the loop's thread.
 */
final class IsolatedDomain implements FrameLink.Listener {

  private static final long TICK_MILLIS = 25;
  private static final long HEARTBEAT_MILLIS = 100;

  /** How long a domain's leader may be silent before jobs are no longer with it. */
  private static final long SILENCE_MICROS = 600_000;

  /** How long links stay open after the last answers were sent on them. */
  private static final long LINGER_MILLIS = 50;

  private final String self;
  private final Loop loop;
  private final DomainElection election;
  private final StoreLink store;
  private final LeaderReach reach;
  private final OpenJobs jobs;
  private final DrainedDomains drained;
  private final Supplier<DomainDuty> duties;
  private final SuspensionDetector suspension;
  private FrameNetwork network;
  private List<WorkerInfo> workers = List.of();
  private FollowerLinks followers;
  private DomainDuty duty;
  private FrameLink leaderLink;
  private long leaderHeardAt;

  /**
   * Creates a host's part.
   *
   * @param drained which failure domains are drained, as this host knows
   * @param suspension finds out that the process stood still
   * @param duties makes a term of leading the domain
   */
  IsolatedDomain(
      String self,
      Loop loop,
      DomainElection election,
      StoreLink store,
      LeaderReach reach,
      OpenJobs jobs,
      DrainedDomains drained,
      SuspensionDetector suspension,
      Supplier<DomainDuty> duties) {
    this.self = self;
    this.loop = loop;
    this.election = election;
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
    election.isolated(Loop.now());
  }

  /** Takes in that the partition's leader was heard, or that this host leads the partition. */
  void partitionLeaderHeard() {
    election.partitionLeaderHeard().forEach(this::run);
  }

  /** Takes in that this host stops. */
  void retire() {
    election.retire();
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
  }

  private void run(DomainAction action) {
    if (action instanceof DomainAction.Stand) {
      openLinks();
      beat();
    } else if (action instanceof DomainAction.Lead) {
      lead();
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
    duty = duties.get();
    duty.start();
    reach.setDomainLeader(new OwnPort(duty));
    beat();
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
      reach.setDomainLeader(null);
    }
    FollowerLinks links = followers;
    followers = null;
    if (links != null) {
      loop.after(LINGER_MILLIS, links::close);
    }
  }

  private void beat() {
    if (followers != null) {
      followers.beat(new DomainHeartbeat(self, duty != null, drained.revision(), Loop.now()));
    }
  }

  private void fromFollower(String host, HostMessage message) {
    if (drained.received(message, answer -> sendTo(host, answer))) {
      return;
    }
    if (message instanceof DomainHeartbeatReply reply) {
      drained.compare(reply.drainRevision(), query -> sendTo(host, query));
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
      jobs.finishedByDomainLeader(end);
    }
  }

  @Override
  public void received(FrameLink link, HostMessage message) {
    if (message instanceof DomainWorkers list) {
      setWorkers(list.workers());
    } else if (message instanceof DomainHeartbeat heartbeat) {
      heard(link, heartbeat);
    } else if (link == leaderLink) {
      answered(message);
    }
  }

  /** Tells whether a message on a link is for the domain. */
  boolean isFor(FrameLink link, HostMessage message) {
    return link == leaderLink
        || message instanceof DomainWorkers
        || message instanceof DomainHeartbeat;
  }

  private void heard(FrameLink link, DomainHeartbeat heartbeat) {
    boolean accepted = election.accepts(Loop.now(), heartbeat.host());
    drained.compare(heartbeat.drainRevision(), link::send);
    link.send(new DomainHeartbeatReply(accepted, drained.revision(), heartbeat.sentAt()));
    if (link == leaderLink) {
      leaderHeardAt = Loop.now();
    } else if (accepted && heartbeat.leads()) {
      follow(link, heartbeat.host());
    }
  }

  private void follow(FrameLink link, String host) {
    EventLog.info(LogEvent.DOMAIN_LEADER_FOUND, "leader={}", host);
    leaderLink = link;
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
    }
  }
}
