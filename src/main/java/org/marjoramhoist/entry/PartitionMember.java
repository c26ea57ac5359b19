package org.marjoramhoist.entry;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.marjoramhoist.dispatch.RetryForecast;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.lead.AdmissionRateController;
import org.marjoramhoist.lead.Election;
import org.marjoramhoist.lead.ElectionAction;
import org.marjoramhoist.lead.ElectionEvent;
import org.marjoramhoist.lead.IsolationDetector;
import org.marjoramhoist.lead.Succession;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.HostMessage.ConfigCopy;
import org.marjoramhoist.message.HostMessage.ConfigQuery;
import org.marjoramhoist.message.HostMessage.Finished;
import org.marjoramhoist.message.HostMessage.HandOver;
import org.marjoramhoist.message.HostMessage.Heartbeat;
import org.marjoramhoist.message.HostMessage.HeartbeatReply;
import org.marjoramhoist.message.HostMessage.JobCallReply;
import org.marjoramhoist.message.HostMessage.LeaderQuery;
import org.marjoramhoist.message.HostMessage.LeaderQueryReply;
import org.marjoramhoist.peer.FrameLink;
import org.marjoramhoist.peer.FrameNetwork;

/**
 * This host's part in its partition: follows the leader that it hears, or leads.
 *
 * <p>Invariant: jobs go to one leader at a time, the one of the highest term heard. Confined to the
 * loop's thread.
 */
final class PartitionMember implements FrameLink.Listener {

  private static final long TICK_MILLIS = 25;
  private static final long HEARTBEAT_MILLIS = 100;

  private static final long UNSERVED_MICROS = 1_500_000;

  private final String self;
  private final EventLoop loop;
  private final Election election;
  private final HostRegistration store;
  private final StoreHealth health;
  private final ConfigWatch config;
  private final DrainedDomains drained;
  private final LeaderTracker reach;
  private final OpenJobs jobs;
  private final JobCalls calls;
  private final Function<ElectionAction.Lead, PartitionLeadership> duties;
  private final IsolatedDomainMember domain;
  private final IsolationDetector isolation;
  private final DomainIsolationCheck cutCheck;
  private final DomainWorkerLists domainLists = new DomainWorkerLists();
  private AdmissionRateController intake = new AdmissionRateController();
  private FrameNetwork network;
  private volatile PartitionLeadership duty;
  private LeaderChannel ownPort;
  private FollowerLinks followers;
  private RemoteLeaderChannel leaderPort;
  private boolean retiring;

  private Map<String, Integer> waiting = Map.of();
  private final SuspensionDetector suspension = new SuspensionDetector();
  private final Succession succession;

  /** The way to this host as leader. */
  private final class OwnPort implements LeaderChannel {
    private final long term;

    private OwnPort(long term) {
      this.term = term;
    }

    @Override
    public long term() {
      return term;
    }

    @Override
    public void send(HostMessage message) {
      if (duty != null && duty.term() == term) {
        duty.fromEntry(self, message);
      }
    }
  }

  PartitionMember(
      String self,
      EventLoop loop,
      Election election,
      HostRegistration store,
      StoreHealth health,
      ConfigWatch config,
      DrainedDomains drained,
      LeaderTracker reach,
      OpenJobs jobs,
      JobCalls calls,
      IsolatedDomainMember domain,
      Function<ElectionAction.Lead, PartitionLeadership> duties) {
    this.self = self;
    this.succession = new Succession(store.capacity());
    this.loop = loop;
    this.election = election;
    this.store = store;
    this.health = health;
    this.config = config;
    this.drained = drained;
    this.reach = reach;
    this.jobs = jobs;
    this.calls = calls;
    this.domain = domain;
    this.isolation = new IsolationDetector(health::hasRespondedSince);
    this.cutCheck =
        new DomainIsolationCheck(self, loop, election, store, isolation, domain::isolated);
    this.duties = duties;
  }

  void start(FrameNetwork peers) {
    network = peers;
    domain.start(peers);
    cutCheck.start(peers);
    loop.scheduleWithFixedDelay(TICK_MILLIS, () -> handle(new ElectionEvent.Tick()));
    loop.scheduleWithFixedDelay(TICK_MILLIS, cutCheck::tick);
    loop.scheduleWithFixedDelay(HEARTBEAT_MILLIS, this::beat);
  }

  /** Returns how many jobs of a class wait, as far as this host knows. */
  int waitingJobs(String requestClass) {
    Map<String, Integer> counts = duty != null ? duty.waiting() : waiting;
    return counts.getOrDefault(requestClass, 0);
  }

  /** Tells whether this host leads and may order runs now. */
  boolean mayOrder() {
    if (suspension.wasSuspended()) {
      handle(new ElectionEvent.StepDownRequired("the process was suspended"));
    }
    return election.mayOrder(EventLoop.now());
  }

  /** Tells whether this host leads and may start new runs now. */
  boolean mayStart() {
    return election.mayStart(EventLoop.now());
  }

  /** Tells whether this host leads; may be called from any thread. */
  boolean isLeader() {
    return duty != null;
  }

  /** Takes in an event of the election and carries out what follows. */
  void handle(ElectionEvent event) {
    if (event instanceof ElectionEvent.HostsListed seen) {
      succession.hostsSeen(seen.hosts());
    }
    for (ElectionAction action : election.step(EventLoop.now(), event)) {
      run(action);
    }
  }

  private void run(ElectionAction action) {
    if (action instanceof ElectionAction.AskHosts) {
      ask();
    } else if (action instanceof ElectionAction.ReadRecord) {
      store.readLeaderRecord();
    } else if (action instanceof ElectionAction.AcquireRecord take) {
      takeRecord(take.expectedRevision());
    } else if (action instanceof ElectionAction.Lead lead) {
      lead(lead);
    } else if (action instanceof ElectionAction.StepDown stepDown) {
      EventLog.warn(
          LogEvent.LEADER_STEPPED_DOWN, "term={} reason={}", stepDown.term(), stepDown.reason());
      endDuty();
    }
  }

  private void takeRecord(long expectedRevision) {
    if (duty == null) {
      // A suspension from here on makes the record worthless, an earlier one does not.
      suspension.reset();
    }
    store.acquireLeaderRecord(expectedRevision);
  }

  private void ask() {
    Map<String, String> others = new LinkedHashMap<>(store.reachable());
    others.keySet().retainAll(election.otherHosts(EventLoop.now()));
    EventLog.info(
        LogEvent.LEADER_SUSPECTED, "term={} asks={}", election.knownTerm(), others.size());
    LeaderPoll.start(
        self,
        others,
        election.knownLeader(),
        (others.size() + 1) / 2 + 1,
        network,
        loop,
        result -> asked(result, others.size()));
  }

  private void asked(LeaderPoll.Result result, int asked) {
    boolean isolated =
        isolation.hostsAsked(EventLoop.now(), asked, result.reached(), result.leaderHeard());
    if (isolated && election.knownTerm() != 0) {
      domain.isolated();
    }
    handle(
        new ElectionEvent.HostsPolled(
            result.answered(), result.leaderHeard(), result.leaderGone()));
  }

  /** Takes in the list of workers that this host has read as leader. */
  void workersListed(List<WorkerInfo> workers) {
    domainLists.update(workers);
    domain.setWorkers(domainLists.of(store.failureDomain()));
    if (followers != null) {
      followers.connectedHosts().forEach(this::tellDomainWorkers);
    }
  }

  private void tellDomainWorkers(String host) {
    domainLists.due(host, store.domainOf(host)).ifPresent(list -> followers.send(host, list));
  }

  private void lead(ElectionAction.Lead lead) {
    endDuty();
    long term = lead.term();
    EventLog.info(
        LogEvent.LEADER_ELECTED,
        "term={} earlierLeaderGone={}",
        term,
        lead.previousLeaderStopped());
    dropLeader();
    domain.partitionLeaderHeard();
    duty = duties.apply(lead);
    succession.begin(EventLoop.now());
    intake = new AdmissionRateController();
    followers =
        new FollowerLinks(
            self, network, store::reachable, this::fromFollower, host -> entryLost(host));
    followers.onOpened(domainLists::forget);
    ownPort = new OwnPort(term);
    duty.start();
    beat();
    reach.leaderFound(ownPort);
  }

  private void entryLost(String host) {
    if (duty != null) {
      EventLog.info(LogEvent.PEER_DEAD, "host={}", host);
      duty.entryLost(host);
    }
  }

  private void endDuty() {
    if (duty == null) {
      return;
    }
    final LeaderChannel port = ownPort;
    duty.close();
    duty = null;
    followers.close();
    followers = null;
    ownPort = null;
    reach.leaderLost(port);
  }

  /** Delivers the end of a job, or of a call about one, to the host whose caller waits for it. */
  void deliver(String host, HostMessage answer) {
    if (host.equals(self)) {
      answered(answer);
    } else if (followers != null) {
      followers.send(host, answer);
    }
  }

  private void answered(HostMessage answer) {
    if (answer instanceof Finished end) {
      jobs.finished(end);
    } else if (answer instanceof JobCallReply reply) {
      calls.replied(reply);
    }
  }

  private void beat() {
    if (duty == null) {
      return;
    }
    double share = intake.next(duty.meanResponseMicros());
    jobs.setAdmittedShare(share);
    RetryForecast returns = duty.retryForecast(share);
    reach.updateRetryForecast(returns);
    followers.sendHeartbeats(
        new Heartbeat(
            duty.term(),
            self,
            config.current().version(),
            drained.revision(),
            duty.waiting(),
            share,
            EventLoop.now(),
            returns));
    handOverIfDue();
  }

  /**
   * A leader that stops, or that the store turns away, hands over to a host that is served; one
   * that could carry much less than a host that follows it hands over to that.
   */
  private void handOverIfDue() {
    long now = EventLoop.now();
    if (retiring) {
      handOver(succession.successor(now), "the host stops");
    } else if (health.outageMicros() > UNSERVED_MICROS) {
      handOver(succession.successor(now), "the store turns this host away");
    } else {
      handOver(succession.larger(now), "it carries more");
    }
  }

  /** Asks another host to lead; this one goes on until it hears of the later term. */
  private void handOver(Optional<String> successor, String reason) {
    if (successor.isEmpty()) {
      return;
    }
    String host = successor.get();
    EventLog.info(LogEvent.LEADER_HANDS_OVER, "term={} to={} reason={}", duty.term(), host, reason);
    followers.send(host, new HandOver(duty.term()));
  }

  /**
   * Takes no new term from now on, and hands the present one over as soon as a host can take it.
   */
  void beginShutdown() {
    retiring = true;
    domain.beginShutdown();
    handle(new ElectionEvent.ShutdownStarted());
    if (duty != null) {
      handOver(succession.successor(EventLoop.now()), "the host stops");
    }
  }

  private void fromFollower(String host, HostMessage message) {
    if (duty == null || drained.handleMessage(message, answer -> followers.send(host, answer))) {
      return;
    }
    if (message instanceof HeartbeatReply reply) {
      if (reply.term() > duty.term()) {
        handle(new ElectionEvent.StepDownRequired("host " + host + " knows a later term"));
        return;
      }
      succession.follows(host, reply.mayLead(), EventLoop.now());
      handle(new ElectionEvent.HeartbeatConfirmed(host, reply.heartbeatSentAt()));
      askForConfig(reply.configVersion(), answer -> followers.send(host, answer));
      drained.requestIfNewer(reply.drainRevision(), query -> followers.send(host, query));
    } else if (message instanceof ConfigCopy copy) {
      config.applyIfNewer(copy.text(), "host " + host);
    } else if (message instanceof ConfigQuery) {
      followers.send(host, new ConfigCopy(config.text()));
    } else {
      duty.fromEntry(host, message);
    }
  }

  private void askForConfig(long version, Consumer<HostMessage> sender) {
    if (version > config.current().version()) {
      sender.accept(new ConfigQuery(config.current().version()));
    }
  }

  @Override
  public void received(FrameLink link, HostMessage message) {
    if (drained.handleMessage(message, link::send)) {
      return;
    }
    if (domain.isFor(link, message)) {
      domain.received(link, message);
    } else if (message instanceof Heartbeat heartbeat) {
      heard(link, heartbeat);
    } else if (message instanceof LeaderQuery) {
      link.send(
          new LeaderQueryReply(
              self, election.hearsLeader(EventLoop.now()), duty != null, election.knownTerm()));
    } else if (message instanceof HandOver handOver) {
      handle(new ElectionEvent.HandOverRequested(handOver.term()));
    } else if (message instanceof ConfigCopy copy) {
      config.applyIfNewer(copy.text(), "leader");
    } else if (message instanceof ConfigQuery) {
      link.send(new ConfigCopy(config.text()));
    } else if (isLeaderLink(link)) {
      answered(message);
    }
  }

  private boolean isLeaderLink(FrameLink link) {
    return leaderPort != null && leaderPort.link() == link;
  }

  private void heard(FrameLink link, Heartbeat heartbeat) {
    if (duty != null && heartbeat.term() > duty.term()) {
      handle(new ElectionEvent.StepDownRequired("host " + heartbeat.host() + " leads"));
    }
    if (heartbeat.term() >= election.knownTerm() && duty == null) {
      handle(new ElectionEvent.HeartbeatReceived(heartbeat.term(), heartbeat.host()));
      isolation.leaderHeard();
      domain.partitionLeaderHeard();
      waiting = heartbeat.waiting();
      jobs.setAdmittedShare(heartbeat.intake());
      reach.updateRetryForecast(heartbeat.returns());
      if (!isLeaderLink(link)) {
        EventLog.info(
            LogEvent.LEADER_CHANGED, "leader={} term={}", heartbeat.host(), heartbeat.term());
        dropLeader();
        leaderPort = new RemoteLeaderChannel(heartbeat.term(), link);
        reach.leaderFound(leaderPort);
      }
      askForConfig(heartbeat.configVersion(), link::send);
    }
    drained.requestIfNewer(heartbeat.drainRevision(), link::send);
    link.send(
        new HeartbeatReply(
            election.knownTerm(),
            self,
            config.current().version(),
            drained.revision(),
            health.isAvailable() && !retiring,
            heartbeat.sentAt()));
  }

  private void dropLeader() {
    if (leaderPort != null) {
      RemoteLeaderChannel old = leaderPort;
      leaderPort = null;
      reach.leaderLost(old);
    }
  }

  @Override
  public void closed(FrameLink link) {
    domain.closed(link);
    if (isLeaderLink(link)) {
      long term = leaderPort.term();
      dropLeader();
      handle(new ElectionEvent.LeaderLinkLost(term));
    }
  }

  /** Drops a leader that has gone silent, so that jobs are not sent to it. */
  void dropSilentLeader() {
    if (leaderPort != null && !election.reachesLeader(EventLoop.now())) {
      dropLeader();
    }
  }
}
