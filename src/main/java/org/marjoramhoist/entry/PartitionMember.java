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
import org.marjoramhoist.lead.SuccessorSelector;
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

  private static final long STORE_SILENCE_MICROS = 1_500_000;

  private final String self;
  private final EventLoop loop;
  private final Election election;
  private final HostRegistration store;
  private final StoreHealth health;
  private final ConfigWatch config;
  private final DrainedDomains drained;
  private final LeaderTracker leaders;
  private final OpenJobs jobs;
  private final JobCalls calls;
  private final Function<ElectionAction.BecomeLeader, PartitionLeadership> leaderships;
  private final IsolatedDomainMember domain;
  private final IsolationDetector isolation;
  private final DomainIsolationCheck isolationCheck;
  private final DomainWorkerLists workerLists = new DomainWorkerLists();
  private AdmissionRateController admissionRate = new AdmissionRateController();
  private FrameNetwork network;
  private volatile PartitionLeadership leadership;
  private LeaderChannel localChannel;
  private FollowerLinks followers;
  private RemoteLeaderChannel leaderChannel;
  private boolean shuttingDown;

  private Map<String, Integer> waiting = Map.of();
  private final SuspensionDetector suspension = new SuspensionDetector();
  private final SuccessorSelector successorSelector;

  /** The way to this host as leader. */
  private final class LocalLeaderChannel implements LeaderChannel {
    private final long term;

    private LocalLeaderChannel(long term) {
      this.term = term;
    }

    @Override
    public long term() {
      return term;
    }

    @Override
    public void send(HostMessage message) {
      if (leadership != null && leadership.term() == term) {
        leadership.handleEntryMessage(self, message);
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
      Function<ElectionAction.BecomeLeader, PartitionLeadership> duties) {
    this.self = self;
    this.successorSelector = new SuccessorSelector(store.capacity());
    this.loop = loop;
    this.election = election;
    this.store = store;
    this.health = health;
    this.config = config;
    this.drained = drained;
    this.leaders = reach;
    this.jobs = jobs;
    this.calls = calls;
    this.domain = domain;
    this.isolation = new IsolationDetector(health::hasRespondedSince);
    this.isolationCheck =
        new DomainIsolationCheck(self, loop, election, store, isolation, domain::domainIsolated);
    this.leaderships = duties;
  }

  void start(FrameNetwork peers) {
    network = peers;
    domain.start(peers);
    isolationCheck.start(peers);
    loop.scheduleWithFixedDelay(TICK_MILLIS, () -> handle(new ElectionEvent.Tick()));
    loop.scheduleWithFixedDelay(TICK_MILLIS, isolationCheck::tick);
    loop.scheduleWithFixedDelay(HEARTBEAT_MILLIS, this::sendHeartbeats);
  }

  /** Returns how many jobs of a class wait, as far as this host knows. */
  int waitingJobs(String requestClass) {
    Map<String, Integer> counts = leadership != null ? leadership.waitingJobs() : waiting;
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
    return leadership != null;
  }

  /** Takes in an event of the election and carries out what follows. */
  void handle(ElectionEvent event) {
    if (event instanceof ElectionEvent.HostsListed seen) {
      successorSelector.setCapacities(seen.hosts());
    }
    for (ElectionAction action : election.step(EventLoop.now(), event)) {
      execute(action);
    }
  }

  private void execute(ElectionAction action) {
    if (action instanceof ElectionAction.PollHosts) {
      pollHosts();
    } else if (action instanceof ElectionAction.ReadRecord) {
      store.readLeaderRecord();
    } else if (action instanceof ElectionAction.AcquireRecord take) {
      takeRecord(take.expectedRevision());
    } else if (action instanceof ElectionAction.BecomeLeader lead) {
      startLeading(lead);
    } else if (action instanceof ElectionAction.StepDown stepDown) {
      EventLog.warn(
          LogEvent.LEADER_STEPPED_DOWN, "term={} reason={}", stepDown.term(), stepDown.reason());
      endLeadership();
    }
  }

  private void takeRecord(long expectedRevision) {
    if (leadership == null) {
      // A suspension from here on makes the record worthless, an earlier one does not.
      suspension.reset();
    }
    store.acquireLeaderRecord(expectedRevision);
  }

  private void pollHosts() {
    Map<String, String> others = new LinkedHashMap<>(store.reachable());
    others.keySet().retainAll(election.otherVoters(EventLoop.now()));
    EventLog.info(
        LogEvent.LEADER_SUSPECTED, "term={} asks={}", election.knownTerm(), others.size());
    LeaderPoll.start(
        self,
        others,
        election.knownLeader(),
        (others.size() + 1) / 2 + 1,
        network,
        loop,
        result -> hostsPolled(result, others.size()));
  }

  private void hostsPolled(LeaderPoll.Result result, int asked) {
    boolean isolated =
        isolation.hostsPolled(EventLoop.now(), asked, result.replied(), result.leaderAlive());
    if (isolated && election.knownTerm() != 0) {
      domain.domainIsolated();
    }
    handle(
        new ElectionEvent.HostsPolled(
            result.answered(), result.leaderAlive(), result.leaderStopped()));
  }

  /** Takes in the list of workers that this host has read as leader. */
  void workersListed(List<WorkerInfo> workers) {
    workerLists.update(workers);
    domain.setWorkers(workerLists.of(store.failureDomain()));
    if (followers != null) {
      followers.connectedHosts().forEach(this::sendDomainWorkers);
    }
  }

  private void sendDomainWorkers(String host) {
    workerLists
        .pendingUpdate(host, store.domainOf(host))
        .ifPresent(list -> followers.send(host, list));
  }

  private void startLeading(ElectionAction.BecomeLeader lead) {
    endLeadership();
    long term = lead.term();
    EventLog.info(
        LogEvent.LEADER_ELECTED,
        "term={} earlierLeaderGone={}",
        term,
        lead.previousLeaderStopped());
    dropLeader();
    domain.partitionLeaderActive();
    leadership = leaderships.apply(lead);
    successorSelector.startTerm(EventLoop.now());
    admissionRate = new AdmissionRateController();
    followers =
        new FollowerLinks(
            self, network, store::reachable, this::handleFollowerMessage, host -> entryLost(host));
    followers.onOpened(workerLists::forget);
    localChannel = new LocalLeaderChannel(term);
    leadership.start();
    sendHeartbeats();
    leaders.leaderFound(localChannel);
  }

  private void entryLost(String host) {
    if (leadership != null) {
      EventLog.info(LogEvent.PEER_DEAD, "host={}", host);
      leadership.entryLost(host);
    }
  }

  private void endLeadership() {
    if (leadership == null) {
      return;
    }
    final LeaderChannel port = localChannel;
    leadership.close();
    leadership = null;
    followers.close();
    followers = null;
    localChannel = null;
    leaders.leaderLost(port);
  }

  /** Delivers the end of a job, or of a call about one, to the host whose caller waits for it. */
  void deliver(String host, HostMessage answer) {
    if (host.equals(self)) {
      handleAnswer(answer);
    } else if (followers != null) {
      followers.send(host, answer);
    }
  }

  private void handleAnswer(HostMessage answer) {
    if (answer instanceof Finished end) {
      jobs.finished(end);
    } else if (answer instanceof JobCallReply reply) {
      calls.replied(reply);
    }
  }

  private void sendHeartbeats() {
    if (leadership == null) {
      return;
    }
    double share = admissionRate.update(leadership.meanResponseMicros());
    jobs.setAdmittedShare(share);
    RetryForecast returns = leadership.retryForecast(share);
    leaders.updateRetryForecast(returns);
    followers.sendHeartbeats(
        new Heartbeat(
            leadership.term(),
            self,
            config.current().version(),
            drained.revision(),
            leadership.waitingJobs(),
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
    if (shuttingDown) {
      handOver(successorSelector.choose(now), "the host stops");
    } else if (health.outageMicros() > STORE_SILENCE_MICROS) {
      handOver(successorSelector.choose(now), "the store turns this host away");
    } else {
      handOver(successorSelector.chooseLarger(now), "it carries more");
    }
  }

  /** Asks another host to lead; this one goes on until it hears of the later term. */
  private void handOver(Optional<String> successor, String reason) {
    if (successor.isEmpty()) {
      return;
    }
    String host = successor.get();
    EventLog.info(
        LogEvent.LEADER_HANDS_OVER, "term={} to={} reason={}", leadership.term(), host, reason);
    followers.send(host, new HandOver(leadership.term()));
  }

  /**
   * Takes no new term from now on, and hands the present one over as soon as a host can take it.
   */
  void beginShutdown() {
    shuttingDown = true;
    domain.beginShutdown();
    handle(new ElectionEvent.ShutdownStarted());
    if (leadership != null) {
      handOver(successorSelector.choose(EventLoop.now()), "the host stops");
    }
  }

  private void handleFollowerMessage(String host, HostMessage message) {
    if (leadership == null
        || drained.handleMessage(message, answer -> followers.send(host, answer))) {
      return;
    }
    if (message instanceof HeartbeatReply reply) {
      if (reply.term() > leadership.term()) {
        handle(new ElectionEvent.StepDownRequired("host " + host + " knows a later term"));
        return;
      }
      successorSelector.followerReplied(host, reply.mayLead(), EventLoop.now());
      handle(new ElectionEvent.HeartbeatConfirmed(host, reply.heartbeatSentAt()));
      requestConfigIfNewer(reply.configVersion(), answer -> followers.send(host, answer));
      drained.requestIfNewer(reply.drainRevision(), query -> followers.send(host, query));
    } else if (message instanceof ConfigCopy copy) {
      config.applyIfNewer(copy.text(), "host " + host);
    } else if (message instanceof ConfigQuery) {
      followers.send(host, new ConfigCopy(config.text()));
    } else {
      leadership.handleEntryMessage(host, message);
    }
  }

  private void requestConfigIfNewer(long version, Consumer<HostMessage> sender) {
    if (version > config.current().version()) {
      sender.accept(new ConfigQuery(config.current().version()));
    }
  }

  @Override
  public void received(FrameLink link, HostMessage message) {
    if (drained.handleMessage(message, link::send)) {
      return;
    }
    if (domain.handles(link, message)) {
      domain.received(link, message);
    } else if (message instanceof Heartbeat heartbeat) {
      heartbeatReceived(link, heartbeat);
    } else if (message instanceof LeaderQuery) {
      link.send(
          new LeaderQueryReply(
              self,
              election.isLeaderAlive(EventLoop.now()),
              leadership != null,
              election.knownTerm()));
    } else if (message instanceof HandOver handOver) {
      handle(new ElectionEvent.HandOverRequested(handOver.term()));
    } else if (message instanceof ConfigCopy copy) {
      config.applyIfNewer(copy.text(), "leader");
    } else if (message instanceof ConfigQuery) {
      link.send(new ConfigCopy(config.text()));
    } else if (isLeaderLink(link)) {
      handleAnswer(message);
    }
  }

  private boolean isLeaderLink(FrameLink link) {
    return leaderChannel != null && leaderChannel.link() == link;
  }

  private void heartbeatReceived(FrameLink link, Heartbeat heartbeat) {
    if (leadership != null && heartbeat.term() > leadership.term()) {
      handle(new ElectionEvent.StepDownRequired("host " + heartbeat.host() + " leads"));
    }
    if (heartbeat.term() >= election.knownTerm() && leadership == null) {
      handle(new ElectionEvent.HeartbeatReceived(heartbeat.term(), heartbeat.host()));
      isolation.heartbeatReceived();
      domain.partitionLeaderActive();
      waiting = heartbeat.waiting();
      jobs.setAdmittedShare(heartbeat.intake());
      leaders.updateRetryForecast(heartbeat.returns());
      if (!isLeaderLink(link)) {
        EventLog.info(
            LogEvent.LEADER_CHANGED, "leader={} term={}", heartbeat.host(), heartbeat.term());
        dropLeader();
        leaderChannel = new RemoteLeaderChannel(heartbeat.term(), link);
        leaders.leaderFound(leaderChannel);
      }
      requestConfigIfNewer(heartbeat.configVersion(), link::send);
    }
    drained.requestIfNewer(heartbeat.drainRevision(), link::send);
    link.send(
        new HeartbeatReply(
            election.knownTerm(),
            self,
            config.current().version(),
            drained.revision(),
            health.isAvailable() && !shuttingDown,
            heartbeat.sentAt()));
  }

  private void dropLeader() {
    if (leaderChannel != null) {
      RemoteLeaderChannel old = leaderChannel;
      leaderChannel = null;
      leaders.leaderLost(old);
    }
  }

  @Override
  public void closed(FrameLink link) {
    domain.closed(link);
    if (isLeaderLink(link)) {
      long term = leaderChannel.term();
      dropLeader();
      handle(new ElectionEvent.LeaderLinkLost(term));
    }
  }

  /** Drops a leader that has gone silent, so that jobs are not sent to it. */
  void dropSilentLeader() {
    if (leaderChannel != null && !election.canReachLeader(EventLoop.now())) {
      dropLeader();
    }
  }
}
