package org.marjoramhoist.entry;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.marjoramhoist.http.HostPort;
import org.marjoramhoist.json.CheckedObject;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.lead.ElectionEvent;
import org.marjoramhoist.lead.HostCapacity;
import org.marjoramhoist.lead.LeaderRecord;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.HostMessage.DomainState;
import org.marjoramhoist.message.HostMessage.KnownHost;
import org.marjoramhoist.platform.KeyValueClient;
import org.marjoramhoist.platform.KeyValueClient.Change;
import org.marjoramhoist.platform.KeyValueClient.Condition;
import org.marjoramhoist.platform.KeyValueClient.Item;
import org.marjoramhoist.platform.KeyValueClient.Put;
import org.marjoramhoist.platform.KeyValueClient.TxnReply;

/**
 * The entries of a host in the store: its registration and, while it leads, the leader record. Both
 * are attached to the host's lease.
 *
 * <p>Confined to the event loop's thread.
 */
final class HostRegistration implements PrefixWatch.Listener {

  private static final String ROOT = "marjoramhoist/";
  private static final String HOSTS = ROOT + "hosts/";

  /** The key of the leader record; its revision is the term. */
  static final String LEADER = ROOT + "leader/0";

  private static final long LEASE_MILLIS = 4_000;
  private static final long RENEW_INTERVAL_MILLIS = 1_000;
  private static final long RETRY_MILLIS = 200;
  private static final int MAX_TEXT_CHARS = 256;
  private static final long MAX_STARTS_PER_SECOND = 1L << 40;

  private final KeyValueClient store;
  private final EventLoop loop;
  private final StoreHealth health;
  private final String host;
  private final long incarnation;
  private final String peerAddress;
  private final String failureDomain;
  private final HostCapacity capacity;
  private final Consumer<ElectionEvent> election;
  private final KnownHosts hosts = new KnownHosts();
  private long lease;
  private long registeredRevision;
  private boolean deregistering;

  /** The acquisition of the leader record that waits for this host's lease; null if none does. */
  private Runnable pendingAcquisition;

  HostRegistration(
      KeyValueClient store,
      EventLoop loop,
      StoreHealth health,
      String host,
      long incarnation,
      String peerAddress,
      String failureDomain,
      HostCapacity capacity,
      Consumer<ElectionEvent> election) {
    this.store = store;
    this.loop = loop;
    this.health = health;
    this.host = host;
    this.incarnation = incarnation;
    this.peerAddress = peerAddress;
    this.failureDomain = failureDomain;
    this.capacity = capacity;
    this.election = election;
  }

  /** Registers the host and starts to watch the other hosts and the leader record. */
  void start() {
    register();
    loop.scheduleWithFixedDelay(RENEW_INTERVAL_MILLIS, this::renewLease);
    new PrefixWatch(store, ROOT, loop, health, this).start();
  }

  /** Returns the capacity of this host as leader. */
  HostCapacity capacity() {
    return capacity;
  }

  /** Returns the peer addresses of the hosts that are or recently were registered, by name. */
  Map<String, String> reachable() {
    return hosts.reachable(EventLoop.now());
  }

  /** Returns the failure domain of this host. */
  String failureDomain() {
    return failureDomain;
  }

  /** Returns the failure domain of a host that is or was registered; empty if none is known. */
  String domainOf(String name) {
    return hosts.domainOf(name);
  }

  /** Returns the registered hosts of this host's failure domain with their capacities. */
  Map<String, HostCapacity> domainMembers() {
    return hosts.capacitiesIn(failureDomain);
  }

  /**
   * Returns the peer addresses of the hosts in this host's failure domain that are or recently were
   * registered, by name.
   */
  Map<String, String> reachableInDomain() {
    Map<String, String> found = new LinkedHashMap<>(reachable());
    found.keySet().removeIf(name -> !domainOf(name).equals(failureDomain));
    return found;
  }

  /** Returns whether no host is known, neither from the store nor from another host. */
  boolean hasNoKnownHosts() {
    return hosts.addresses().isEmpty();
  }

  /** Returns whether the store has responded since this process started. */
  boolean storeHasEverResponded() {
    return health.hasEverResponded();
  }

  /**
   * Returns the registered hosts, for a host that started while its failure domain was isolated.
   */
  List<KnownHost> knownHosts() {
    return hosts.addresses().entrySet().stream()
        .map(each -> knownHost(each.getKey(), each.getValue()))
        .toList();
  }

  private KnownHost knownHost(String name, String address) {
    HostCapacity hostCapacity = hosts.capacities().getOrDefault(name, HostCapacity.UNKNOWN);
    return new KnownHost(name, address, domainOf(name), hostCapacity.startsPerSecond());
  }

  /**
   * Imports the hosts and the term that another host knows, until they can be read from the store.
   */
  void importState(DomainState state) {
    for (KnownHost each : state.hosts()) {
      HostCapacity hostCapacity = new HostCapacity(each.startsPerSecond());
      hosts.register(each.name(), each.address(), each.failureDomain(), hostCapacity);
    }
    publishHosts();
    election.accept(new ElectionEvent.TermReported(state.term(), state.leader()));
  }

  private void register() {
    store
        .grantLease(LEASE_MILLIS)
        .thenCompose(this::handleLeaseGranted)
        .whenComplete((reply, error) -> loop.execute(() -> handleRegistered(reply, error)));
  }

  private CompletableFuture<TxnReply> handleLeaseGranted(long granted) {
    lease = granted;
    loop.execute(this::acquirePending);
    return putRegistration(granted);
  }

  private CompletableFuture<TxnReply> putRegistration(long leaseId) {
    Put put = new Put(HOSTS + host, registration(), leaseId);
    return store.txn(List.of(), List.of(put), List.of());
  }

  private String registration() {
    return JsonText.of(
        Map.of(
            "address",
            peerAddress,
            "incarnation",
            incarnation,
            "failureDomain",
            failureDomain,
            "startsPerSecond",
            capacity.startsPerSecond()));
  }

  private void handleRegistered(TxnReply reply, Throwable error) {
    if (error == null) {
      health.recordSuccess();
      registeredRevision = reply.revision();
    } else if (!deregistering) {
      lease = 0;
      health.recordFailure(error);
      loop.scheduleWithJitter(RETRY_MILLIS, this::register);
    }
  }

  /**
   * Writes the registration again after it was deleted while the lease may still be valid. It uses
   * the same lease, as the leader record is attached to it too.
   */
  private void restoreRegistration() {
    long leaseId = lease;
    putRegistration(leaseId)
        .whenComplete((reply, error) -> loop.execute(() -> handleRestored(leaseId, reply, error)));
  }

  private void handleRestored(long leaseId, TxnReply reply, Throwable error) {
    if (error == null) {
      health.recordSuccess();
      registeredRevision = Math.max(registeredRevision, reply.revision());
    } else if (leaseId == lease && !deregistering) {
      // If the lease has expired, the next renewal detects it.
      health.recordFailure(error);
      loop.scheduleWithJitter(RETRY_MILLIS, () -> restoreIfLeaseUnchanged(leaseId));
    }
  }

  private void restoreIfLeaseUnchanged(long expectedLeaseId) {
    if (expectedLeaseId == lease && !deregistering) {
      restoreRegistration();
    }
  }

  private void renewLease() {
    if (lease == 0 || deregistering) {
      return;
    }
    store
        .keepAlive(lease)
        .whenComplete(
            (alive, error) ->
                loop.execute(
                    () -> {
                      if (error != null) {
                        health.recordFailure(error);
                      } else if (alive) {
                        health.recordSuccess();
                      } else {
                        handleLeaseExpired();
                      }
                    }));
  }

  private void handleLeaseExpired() {
    lease = 0;
    if (!deregistering) {
      register();
      loop.schedule(RETRY_MILLIS, () -> election.accept(new ElectionEvent.RecordExpired()));
    }
  }

  /**
   * Writes this host into the leader record and reports the result to the election. A host without
   * a lease does so as soon as it is granted one.
   */
  void acquireLeaderRecord(long expectedRevision) {
    if (lease == 0) {
      Runnable acquisition = () -> acquireLeaderRecord(expectedRevision);
      pendingAcquisition = acquisition;
      loop.schedule(RETRY_MILLIS, () -> failIfStillPending(acquisition));
      return;
    }
    String value = JsonText.of(Map.of("host", host, "incarnation", incarnation));
    store
        .txn(
            List.of(new Condition(LEADER, expectedRevision)),
            List.of(new Put(LEADER, value, lease)),
            List.of())
        .whenComplete(
            (reply, error) ->
                loop.execute(
                    () -> {
                      if (error != null) {
                        handleAcquireFailed(error);
                      } else if (reply.committed()) {
                        election.accept(new ElectionEvent.RecordAcquired(reply.revision()));
                      } else {
                        election.accept(new ElectionEvent.AcquireFailed());
                      }
                    }));
  }

  private void acquirePending() {
    if (pendingAcquisition != null) {
      Runnable acquisition = pendingAcquisition;
      pendingAcquisition = null;
      acquisition.run();
    }
  }

  private void failIfStillPending(Runnable acquisition) {
    if (pendingAcquisition == acquisition) {
      pendingAcquisition = null;
      election.accept(new ElectionEvent.AcquireFailed());
    }
  }

  private void handleAcquireFailed(Throwable error) {
    health.recordFailure(error);
    election.accept(new ElectionEvent.AcquireFailed());
  }

  /** Reads the leader record and reports it to the election. */
  void readLeaderRecord() {
    long requestedAt = EventLoop.now();
    store
        .readAll(LEADER)
        .whenComplete(
            (page, error) ->
                loop.execute(
                    () -> {
                      if (error != null) {
                        health.recordFailure(error);
                        return;
                      }
                      health.recordSuccess();
                      publishLeaderRecord(page.items(), page.revision(), requestedAt);
                    }));
  }

  private void publishLeaderRecord(List<Item> items, long revision, long requestedAt) {
    for (Item item : items) {
      if (item.key().equals(LEADER)) {
        election.accept(
            new ElectionEvent.RecordRead(item.revision(), parseLeaderRecord(item), requestedAt));
        return;
      }
    }
    election.accept(new ElectionEvent.RecordRead(revision, null, requestedAt));
  }

  private static LeaderRecord parseLeaderRecord(Item item) {
    try {
      CheckedObject record = CheckedObject.parse(item.value());
      return new LeaderRecord(
          record.text("host", MAX_TEXT_CHARS), record.wholeNumber("incarnation", Long.MAX_VALUE));
    } catch (IOException e) {
      logInvalid(item, e);
      return new LeaderRecord("", 0);
    }
  }

  @Override
  public void replaced(List<Item> items, long revision) {
    hosts.deregisterAll(EventLoop.now());
    items.forEach(this::readHost);
    publishHosts();
    publishLeaderRecord(items, revision, 0);
  }

  @Override
  public void changed(Change change) {
    Item item = change.item();
    if (item.key().equals(LEADER)) {
      LeaderRecord record = change.isDeletion() ? null : parseLeaderRecord(item);
      election.accept(new ElectionEvent.RecordRead(item.revision(), record, 0));
    } else if (item.key().startsWith(HOSTS)) {
      if (change.isDeletion()) {
        handleHostRemoved(item.key().substring(HOSTS.length()), item.revision());
      } else {
        readHost(item);
      }
      publishHosts();
    }
  }

  private void handleHostRemoved(String name, long revision) {
    hosts.deregister(name, EventLoop.now());
    // The watch may report the deletion of an earlier registration late.
    boolean isCurrent = revision > registeredRevision;
    if (name.equals(host) && isCurrent && lease != 0 && !deregistering) {
      restoreRegistration();
    }
  }

  private void readHost(Item item) {
    if (!item.key().startsWith(HOSTS)) {
      return;
    }
    String name = item.key().substring(HOSTS.length());
    try {
      CheckedObject entry = CheckedObject.parse(item.value());
      String address = entry.text("address", MAX_TEXT_CHARS);
      if (!HostPort.isIp(address)) {
        throw new IOException("the address is no IP address with a port");
      }
      String domain = entry.textOrEmpty("failureDomain", MAX_TEXT_CHARS);
      long startsPerSecond = entry.wholeNumberOrZero("startsPerSecond", MAX_STARTS_PER_SECOND);
      hosts.register(name, address, domain, new HostCapacity(startsPerSecond));
    } catch (IOException e) {
      logInvalid(item, e);
      hosts.deregister(name, EventLoop.now());
    }
  }

  private static void logInvalid(Item item, IOException reason) {
    EventLog.warn(
        LogEvent.CONFIG_RESOURCE_INVALID, "key={} reason={}", item.key(), reason.getMessage());
  }

  private void publishHosts() {
    election.accept(new ElectionEvent.HostsListed(Map.copyOf(hosts.capacities())));
  }

  /** Removes the host's entries from the store. */
  void deregister() {
    deregistering = true;
    if (lease != 0) {
      store.endLease(lease);
    }
  }
}
