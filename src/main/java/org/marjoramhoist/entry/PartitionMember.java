package org.marjoramhoist.entry;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.marjoramhoist.dispatch.RetryForecast;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.lead.AdmissionRateController;
import org.marjoramhoist.lead.DomainExclusivity;
import org.marjoramhoist.lead.Election;
import org.marjoramhoist.lead.ElectionAction;
import org.marjoramhoist.lead.ElectionEvent;
import org.marjoramhoist.lead.IsolationDetector;
import org.marjoramhoist.lead.StoreOutageMonitor;
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
 * This host's role in its partition: it follows the leader whose heartbeats it receives, or leads.
 *
 * <p>Invariant: this host sends jobs to one partition leader at a time, the one with the highest
 * term that it knows. Confined to the event loop's thread.
 */
final class PartitionMember implements FrameLink.Listener {

  private static final long TICK_INTERVAL_MILLIS = 25;
  private static final long HEARTBEAT_INTERVAL_MILLIS = 100;

  private final String self;
  private final EventLoop loop;
  private final Election election;
  private final HostRegistration registration;
  private final StoreHealth health;
  private final ConfigWatch config;
  private final DrainedDomains drained;
  private final LeaderTracker leaders;
  private final OpenJobs jobs;
  private final JobCalls calls;
  private final Function<ElectionAction.BecomeLeader, PartitionLeadership> leaderships;
  private final IsolatedDomainMember domain;
  private final Supplier<DomainExclusivity> exclusivities;
  private final IsolationDetector isolationDetector;
  private final DomainIsolationCheck isolationCheck;
  private final DomainWorkerLists workerLists = new DomainWorkerLists();
  private AdmissionRateController admissionRate = new AdmissionRateController();
  private FrameNetwork network;
  private volatile PartitionLeadership leadership;
  private LeaderChannel localChannel;
  private FollowerLinks followers;
  private DomainExclusivity exclusivity;
  private RemoteLeaderChannel leaderChannel;
  private boolean shuttingDown;

  private Map<String, Integer> waitingByClass = Map.of();
  private final SuspensionDetector suspension = new SuspensionDetector();
  private final SuccessorSelector successorSelector;
  private final StoreOutageMonitor storeOutage = new StoreOutageMonitor();

  /** The channel to this host as leader. */
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
      HostRegistration registration,
      StoreHealth health,
      ConfigWatch config,
      DrainedDomains drained,
      LeaderTracker leaders,
      OpenJobs jobs,
      JobCalls calls,
      IsolatedDomainMember domain,
      Supplier<DomainExclusivity> exclusivities,
      Function<ElectionAction.BecomeLeader, PartitionLeadership> leaderships) {
    this.self = self;
    this.successorSelector = new SuccessorSelector(registration.capacity());
    this.loop = loop;
    this.election = election;
    this.registration = registration;
    this.health = health;
    this.config = config;
    this.drained = drained;
    this.leaders = leaders;
    this.jobs = jobs;
    this.calls = calls;
    this.domain = domain;
    this.exclusivities = exclusivities;
    this.isolationDetector = new IsolationDetector(health::hasRespondedSince);
    this.isolationCheck =
        new DomainIsolationCheck(
            self, loop, election, registration, isolationDetector, domain::domainIsolated);
    this.leaderships = leaderships;
  }

  void start(FrameNetwork peers) {
    network = peers;
    domain.start(peers);
    isolationCheck.start(peers);
    loop.scheduleWithFixedDelay(TICK_INTERVAL_MILLIS, () -> handle(new ElectionEvent.Tick()));
    loop.scheduleWithFixedDelay(TICK_INTERVAL_MILLIS, isolationCheck::tick);
    loop.scheduleWithFixedDelay(HEARTBEAT_INTERVAL_MILLIS, this::sendHeartbeats);
  }

  /** Returns the number of waiting jobs of a class, as far as this host knows. */
  int waitingJobs(String requestClass) {
    return waitingJobs().getOrDefault(requestClass, 0);
  }

  /** Returns the number of waiting jobs by class; a new leader goes on with what it last heard. */
  private Map<String, Integer> waitingJobs() {
    return leadership == null ? waitingByClass : leadership.waitingJobs().orElse(waitingByClass);
  }

  /** Returns whether this host leads and may send orders to workers. */
  boolean mayOrder() {
    if (suspension.wasSuspended()) {
      handle(new ElectionEvent.StepDownRequired("the process was suspended"));
    }
    return election.mayOrder(EventLoop.now());
  }

  /** Returns whether this host leads and may start new runs. */
  boolean mayStart() {
    return election.mayStart(EventLoop.now());
  }

  /** Returns whether this host leads; may be called from any thread. */
  boolean isLeader() {
    return leadership != null;
  }

  /** Passes an event to the election and executes the resulting actions. */
  void handle(ElectionEvent event) {
    if (event instanceof ElectionEvent.HostsListed listed) {
      successorSelector.setCapacities(listed.hosts());
    }
    for (ElectionAction action : election.step(EventLoop.now(), event)) {
      execute(action);
    }
  }

  private void execute(ElectionAction action) {
    if (action instanceof ElectionAction.PollHosts) {
      pollHosts();
    } else if (action instanceof ElectionAction.ReadRecord) {
      registration.readLeaderRecord();
    } else if (action instanceof ElectionAction.AcquireRecord acquire) {
      acquireRecord(acquire.expectedRevision());
    } else if (action instanceof ElectionAction.BecomeLeader lead) {
      startLeading(lead);
    } else if (action instanceof ElectionAction.StepDown stepDown) {
      EventLog.warn(
          LogEvent.LEADER_STEPPED_DOWN, "term={} reason={}", stepDown.term(), stepDown.reason());
      endLeadership();
    }
  }

  private void acquireRecord(long expectedRevision) {
    if (leadership == null) {
      // A later suspension invalidates the record that is acquired now; an earlier one does not.
      suspension.reset();
    }
    registration.acquireLeaderRecord(expectedRevision);
  }

  private void pollHosts() {
    Map<String, String> others = new LinkedHashMap<>(registration.reachable());
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

  private void hostsPolled(LeaderPoll.Result result, int polled) {
    boolean isolated =
        isolationDetector.hostsPolled(
            EventLoop.now(), polled, result.replied(), result.leaderAlive());
    if (isolated && election.knownTerm() != 0) {
      domain.domainIsolated();
    }
    handle(result.toEvent(health.isAvailable()));
  }

  /** Handles the list of workers that this host has read as leader. */
  void workersListed(List<WorkerInfo> workers) {
    workerLists.update(workers);
    domain.setWorkers(workerLists.of(registration.failureDomain()));
    if (followers != null) {
      followers.connectedHosts().forEach(this::sendDomainWorkers);
    }
  }

  private void sendDomainWorkers(String host) {
    workerLists
        .pendingUpdate(host, registration.domainOf(host))
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
    exclusivity = exclusivities.get();
    exclusivity.hostsListed(EventLoop.now(), domainsOfHosts());
    admissionRate = new AdmissionRateController();
    followers =
        new FollowerLinks(
            self,
            network,
            registration::reachable,
            this::handleFollowerMessage,
            host -> entryHostLost(host));
    followers.onOpened(workerLists::forget);
    localChannel = new LocalLeaderChannel(term);
    leadership.start();
    sendHeartbeats();
    leaders.leaderFound(localChannel);
  }

  private Map<String, String> domainsOfHosts() {
    Map<String, String> domains = new HashMap<>();
    registration
        .reachable()
        .keySet()
        .forEach(host -> domains.put(host, registration.domainOf(host)));
    domains.put(self, registration.failureDomain());
    return domains;
  }

  /** Returns the failure domains whose workers a leader of their own may be using. */
  Set<String> sharedDomains() {
    return exclusivity.sharedDomains(EventLoop.now());
  }

  private void entryHostLost(String host) {
    if (leadership != null) {
      EventLog.info(LogEvent.PEER_DEAD, "host={}", host);
      leadership.entryHostLost(host);
    }
  }

  private void endLeadership() {
    if (leadership == null) {
      return;
    }
    final LeaderChannel lostChannel = localChannel;
    leadership.close();
    leadership = null;
    followers.close();
    followers = null;
    localChannel = null;
    leaders.leaderLost(lostChannel);
  }

  /**
   * Delivers the result of a job, or the reply to a call about one, to the host whose caller waits.
   */
  void deliver(String host, HostMessage answer) {
    if (host.equals(self)) {
      handleAnswer(answer);
    } else if (followers != null) {
      followers.send(host, answer);
    }
  }

  private void handleAnswer(HostMessage answer) {
    if (answer instanceof Finished result) {
      jobs.finished(result);
    } else if (answer instanceof JobCallReply reply) {
      calls.replied(reply);
    }
  }

  private void sendHeartbeats() {
    if (leadership == null) {
      return;
    }
    exclusivity.hostsListed(EventLoop.now(), domainsOfHosts());
    waitingByClass = waitingJobs();
    double admittedShare = admissionRate.update(leadership.meanResponseMicros());
    jobs.setAdmittedShare(admittedShare);
    RetryForecast forecast = leadership.retryForecast(admittedShare);
    leaders.updateRetryForecast(forecast);
    followers.sendHeartbeats(
        new Heartbeat(
            leadership.term(),
            self,
            config.current().version(),
            drained.revision(),
            waitingByClass,
            admittedShare,
            EventLoop.now(),
            forecast));
    handOverIfDue();
  }

  /**
   * Hands over if this host is shutting down, if the store is unavailable to it alone, or if a
   * follower has much more capacity.
   */
  private void handOverIfDue() {
    long now = EventLoop.now();
    Optional<String> successor = successorSelector.selectSuccessor(now);
    if (shuttingDown) {
      handOver(successor, "the host is shutting down");
      return;
    }
    switch (storeOutage.step(now, health.outageMicros(), successor.isPresent())) {
      case PROBE -> registration.readLeaderRecord();
      case HAND_OVER -> handOver(successor, "the store is unavailable to this host");
      case NONE ->
          handOver(successorSelector.selectLargerSuccessor(now), "the successor has more capacity");
      default -> throw new AssertionError();
    }
  }

  /** Asks another host to lead; this host keeps leading until it learns of the later term. */
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
   * Starts the shutdown of this host: it starts no new term, and hands over the current one as soon
   * as another host can lead.
   */
  void beginShutdown() {
    shuttingDown = true;
    domain.beginShutdown();
    handle(new ElectionEvent.ShutdownStarted());
    if (leadership != null) {
      handOver(successorSelector.selectSuccessor(EventLoop.now()), "the host is shutting down");
    }
  }

  /** Returns whether this host leads although another host may succeed it. */
  boolean awaitsSuccessor() {
    return leadership != null && !election.otherVoters(EventLoop.now()).isEmpty();
  }

  private void handleFollowerMessage(String host, HostMessage message) {
    if (leadership == null
        || drained.handleMessage(message, answer -> followers.send(host, answer))) {
      return;
    }
    if (message instanceof HeartbeatReply reply) {
      if (reply.term() > leadership.term()) {
        handle(new ElectionEvent.StepDownRequired("host " + host + " reported a later term"));
        return;
      }
      if (followers.isFoundAnew(host, reply.leaderFoundBy())) {
        leadership.entryHostReconnected(host, reply.leaderFoundBy());
      }
      successorSelector.followerReplied(host, reply.mayLead(), EventLoop.now());
      exclusivity.heartbeatConfirmed(EventLoop.now(), host, reply.heartbeatSentAt());
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
    if (isOutdated(link, heartbeat)) {
      return;
    }
    if (leadership != null && heartbeat.term() > leadership.term()) {
      handle(
          new ElectionEvent.StepDownRequired(
              "host " + heartbeat.host() + " leads in a later term"));
    }
    if (heartbeat.term() >= election.knownTerm() && leadership == null) {
      handle(new ElectionEvent.HeartbeatReceived(heartbeat.term(), heartbeat.host()));
      isolationDetector.heartbeatReceived();
      domain.partitionLeaderActive();
      waitingByClass = heartbeat.waiting();
      jobs.setAdmittedShare(heartbeat.intake());
      leaders.updateRetryForecast(heartbeat.returns());
      if (isLeaderLink(link)) {
        leaderChannel.heartbeatReceived(heartbeat.sentAt());
      } else {
        EventLog.info(
            LogEvent.LEADER_CHANGED,
            "leader={} term={} link={}",
            heartbeat.host(),
            heartbeat.term(),
            link.id());
        dropLeader();
        leaderChannel = new RemoteLeaderChannel(heartbeat.term(), link, heartbeat.sentAt());
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
            heartbeat.sentAt(),
            isLeaderLink(link) ? leaderChannel.foundBy() : 0));
  }

  /**
   * Returns whether the leader has sent a heartbeat before the last one that was received on its
   * current link: it has replaced the link and reads nothing more from it.
   */
  private boolean isOutdated(FrameLink link, Heartbeat heartbeat) {
    return leaderChannel != null
        && !isLeaderLink(link)
        && heartbeat.term() == leaderChannel.term()
        && heartbeat.sentAt() <= leaderChannel.heartbeatSentAt();
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

  /** Drops a leader whose heartbeats have stopped, so that no jobs are sent to it. */
  void dropUnreachableLeader() {
    if (leaderChannel != null && !election.canReachLeader(EventLoop.now())) {
      dropLeader();
    }
  }
}
