package org.marjoramhoist.trial;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.marjoramhoist.config.NodeSettings;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.entry.EntryNode;
import org.marjoramhoist.experiment.LeasedWorker;
import org.marjoramhoist.http.HostPort;
import org.marjoramhoist.http.HttpCall;
import org.marjoramhoist.http.HttpCaller;
import org.marjoramhoist.http.HttpReply;
import org.marjoramhoist.http.LoopbackPorts;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.json.InvalidDocumentException;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.platform.standin.PlatformStoreStandIn;
import org.marjoramhoist.platform.standin.PlatformWorkerStandIn;
import org.marjoramhoist.platform.standin.SampleDocuments;

/**
 * Entry hosts with stand-ins for the store and the workers, on loopback in one process.
 *
 * <p>Safe for use by several threads.
 */
public final class PlatformCluster implements AutoCloseable {

  /** The prefix of the keys under which the leader stores the workers that it may have used. */
  private static final String ROSTER_PREFIX = "marjoramhoist.roster/";

  /** The host name in requests of the sample request class. */
  public static final String AUTHORITY = "reviews.example";

  /** The path prefix of the sample request class. */
  public static final String PATH_PREFIX = "/check/";

  /** The rack of all workers, one of their labels; it has a letter beyond ASCII as others may. */
  static final String RACK = "rack-å";

  private static final String UPSTREAM = "reviews";
  private static final int PORTS_PER_HOST = 3;
  private static final NodeSettings.Limits DEFAULT_LIMITS = new NodeSettings.Limits(1, 1_000);
  private static final String FAILURE_DOMAIN = "dev";
  private static final String LOOPBACK_PREFIX = "127.0.0.1:";
  private static final double FAR_FACTOR = 1.5;
  private static final int DRAIN_SECONDS = 6;
  private static final Resources TASK_RESOURCES = new Resources(1_000, 64, 0);
  private static final Resources WORKER_CAPACITY = new Resources(8_000, 8_192, 0);

  private final PlatformStoreStandIn store = new PlatformStoreStandIn(LOOPBACK_PREFIX + 0);
  private final List<PlatformWorkerStandIn> workers = new ArrayList<>();
  private final List<NodeSettings> settings = new ArrayList<>();
  private final List<EntryNode> hosts = new ArrayList<>();
  private final Map<Integer, ServerSocket> blackholes = new HashMap<>();
  private final HttpCaller caller = new HttpCaller("cluster-caller", 1);

  /**
   * The failure domain and the resource limits of an entry host.
   *
   * @param failureDomain the failure domain
   * @param limits the resource limits
   */
  public record Host(String failureDomain, NodeSettings.Limits limits) {}

  /**
   * Starts a cluster of hosts with equal limits, in one failure domain.
   *
   * @param hostCount the number of entry hosts
   * @param workerCount the number of workers
   * @param observer is notified of the workers' runs
   * @throws IOException if a host can't be started
   */
  public PlatformCluster(int hostCount, int workerCount, LeasedWorker.Observer observer)
      throws IOException {
    this(Collections.nCopies(hostCount, DEFAULT_LIMITS), workerCount, observer);
  }

  /**
   * Starts a cluster in one failure domain.
   *
   * @param hostLimits the resource limits of each entry host
   * @param workerCount the number of workers
   * @param observer is notified of the workers' runs
   * @throws IOException if a host can't be started
   */
  public PlatformCluster(
      List<NodeSettings.Limits> hostLimits, int workerCount, LeasedWorker.Observer observer)
      throws IOException {
    this(
        hostLimits.stream().map(limits -> new Host(FAILURE_DOMAIN, limits)).toList(),
        Collections.nCopies(workerCount, FAILURE_DOMAIN),
        observer);
  }

  /**
   * Starts a cluster.
   *
   * @param entryHosts the entry hosts
   * @param workerDomains the failure domain of each worker
   * @param observer is notified of the workers' runs
   * @throws IOException if a host can't be started
   */
  public PlatformCluster(
      List<Host> entryHosts, List<String> workerDomains, LeasedWorker.Observer observer)
      throws IOException {
    this(entryHosts, workerDomains, observer, address -> address);
  }

  /**
   * Starts a cluster whose hosts reach each other at other addresses than those that they listen
   * on.
   *
   * @param entryHosts the entry hosts
   * @param workerDomains the failure domain of each worker
   * @param observer is notified of the workers' runs
   * @param peerRoute returns the address at which the other hosts reach a host, of the one that it
   *     listens on
   * @throws IOException if a host can't be started
   */
  public PlatformCluster(
      List<Host> entryHosts,
      List<String> workerDomains,
      LeasedWorker.Observer observer,
      UnaryOperator<String> peerRoute)
      throws IOException {
    putConfig(1);
    for (int i = 0; i < workerDomains.size(); i++) {
      addWorker("worker-" + i, workerDomains.get(i), observer);
    }
    List<Integer> ports = LoopbackPorts.free(entryHosts.size() * PORTS_PER_HOST);
    for (int i = 0; i < entryHosts.size(); i++) {
      List<Integer> hostPorts = ports.subList(i * PORTS_PER_HOST, ports.size());
      settings.add(parseSettings("host-" + i, entryHosts.get(i), hostPorts));
      String peers = settings.get(i).listen().peers();
      store.setRoute(peers, peerRoute.apply(peers));
      hosts.add(EntryNode.start(settings.get(i)));
    }
  }

  private void addWorker(String name, String domain, LeasedWorker.Observer observer) {
    WorkerInfo info =
        new WorkerInfo(
            name, UPSTREAM, "", domain, WORKER_CAPACITY, "a", RACK, Set.of("a", RACK), false, 1);
    PlatformWorkerStandIn worker = new PlatformWorkerStandIn(info, TASK_RESOURCES, observer);
    workers.add(worker);
    SampleDocuments.putWorker(store, name, worker);
  }

  /** Returns a host's settings, parsed from JSON like those in a file. */
  private NodeSettings parseSettings(String name, Host host, List<Integer> ports) {
    Map<String, Object> listen =
        Map.of(
            "callers", LOOPBACK_PREFIX + ports.get(0),
            "ready", LOOPBACK_PREFIX + ports.get(1),
            "peers", LOOPBACK_PREFIX + ports.get(2));
    Map<String, Object> limits =
        Map.of("processorShare", host.limits().cores(), "linkMbps", host.limits().linkMbps());
    Map<String, Object> document =
        Map.of(
            "host", name,
            "failureDomain", host.failureDomain(),
            "listen", listen,
            "store", store.address(),
            "farFactor", FAR_FACTOR,
            "drainSeconds", DRAIN_SECONDS,
            "limits", limits);
    try {
      return NodeSettings.parse(name, JsonText.of(document));
    } catch (InvalidDocumentException e) {
      throw new IllegalStateException("settings of " + name, e);
    }
  }

  /** Stores a version of the configuration with the sample request class. */
  public void putConfig(long version) {
    SampleDocuments.putConfig(store, version, AUTHORITY, PATH_PREFIX, UPSTREAM);
  }

  /** Returns the store. */
  public PlatformStoreStandIn store() {
    return store;
  }

  /** Returns the workers. */
  public List<PlatformWorkerStandIn> workers() {
    return workers;
  }

  /** Returns the entry hosts. */
  public List<EntryNode> hosts() {
    return hosts;
  }

  /** Returns the address on which a host listens for the other hosts. */
  public String peerAddress(int host) {
    return settings.get(host).listen().peers();
  }

  /** Returns the address at which a host takes requests of callers. */
  public String address(int host) {
    return settings.get(host).listen().callers();
  }

  /** Stops a host immediately, without a graceful shutdown. */
  public void kill(int host) {
    hosts.get(host).close();
  }

  /**
   * Stops a host immediately, and accepts connections to its peer address without answering, as in
   * a network partition that drops packets.
   *
   * @throws IOException if the address can't be bound
   */
  public void blackhole(int host) throws IOException {
    kill(host);
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(HostPort.parse(settings.get(host).listen().peers()));
    blackholes.put(host, socket);
  }

  /** Restarts a host after {@link #blackhole}. */
  public void restore(int host) throws IOException {
    blackholes.remove(host).close();
    hosts.set(host, EntryNode.start(settings.get(host)));
  }

  /** Stops a host immediately and restarts it under the same name and addresses. */
  public void restart(int host) {
    kill(host);
    try {
      hosts.set(host, EntryNode.start(settings.get(host)));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Restarts all hosts, which must have been stopped, under the same names and addresses. */
  public void restartAll() throws IOException {
    for (int i = 0; i < hosts.size(); i++) {
      hosts.set(i, EntryNode.start(settings.get(i)));
    }
  }

  /**
   * Waits until every host is ready and a leader may start tasks on all workers; returns whether
   * that was within a time in milliseconds. Readiness of the hosts does not suffice: a host is
   * ready earlier, and for a short time after the loss of a leader.
   */
  public boolean awaitReady(long millis) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (!isReady()) {
      if (System.nanoTime() > deadline) {
        return false;
      }
      Thread.sleep(20);
    }
    return true;
  }

  private boolean isReady() {
    for (NodeSettings hostSettings : settings) {
      if (statusOf(hostSettings.listen().ready(), "GET", SampleDocuments.READY_PATH, "") != 200) {
        return false;
      }
    }
    return hosts.stream().anyMatch(EntryNode::isLeader)
        && store.keys(ROSTER_PREFIX).size() >= workers.size();
  }

  private int statusOf(String address, String method, String path, String body) {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
    return caller
        .call(HttpCall.of(address, method, path, body, deadline))
        .handle((reply, error) -> error == null ? reply.status() : 0)
        .join();
  }

  /**
   * Sends a request of the sample class to a host.
   *
   * @param host the number of the host
   * @param method the method
   * @param rest the part of the path that follows the prefix of the class
   * @param body the body
   */
  public CompletableFuture<HttpReply> send(int host, String method, String rest, String body) {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    HttpCall call =
        new HttpCall(
            address(host),
            method,
            PATH_PREFIX + rest,
            body,
            "",
            deadline,
            false,
            Map.of("Host", AUTHORITY));
    return caller.call(call);
  }

  /** Returns the body of a job that is not durable and whose tasks run for {@code millis} each. */
  public static String job(int tasks, int millis) {
    return SampleDocuments.job(tasks, millis, (int) TASK_RESOURCES.cpuMillis(), false);
  }

  /** Returns the body of a durable job whose tasks run for {@code millis} each. */
  public static String durableJob(int tasks, int millis) {
    return SampleDocuments.job(tasks, millis, (int) TASK_RESOURCES.cpuMillis(), true);
  }

  @Override
  public void close() {
    hosts.forEach(EntryNode::close);
    workers.forEach(PlatformWorkerStandIn::close);
    store.close();
    caller.close();
    for (ServerSocket socket : blackholes.values()) {
      try {
        socket.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }
}
