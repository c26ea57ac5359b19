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
import org.marjoramhoist.config.NodeSettings;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.entry.EntryNode;
import org.marjoramhoist.experiment.LeasedWorker;
import org.marjoramhoist.http.HostPort;
import org.marjoramhoist.http.HttpCall;
import org.marjoramhoist.http.HttpCaller;
import org.marjoramhoist.http.HttpReply;
import org.marjoramhoist.http.LoopbackServer;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.json.InvalidDocumentException;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.platform.standin.PlatformStoreStandIn;
import org.marjoramhoist.platform.standin.PlatformWorkerStandIn;
import org.marjoramhoist.platform.standin.SampleDocuments;

/**
 * Entry hosts, a store and workers on loopback in one process.
 *
 * <p>Safe for use by several threads.
 */
public final class PlatformCluster implements AutoCloseable {

  /** Where the leader stores which workers may have been given work. */
  private static final String ROSTER = "marjoramhoist.roster/";

  /** The host name that the sample class of request is addressed by. */
  public static final String AUTHORITY = "reviews.example";

  /** The path prefix of the sample class of request. */
  public static final String PREFIX = "/check/";

  private static final String UPSTREAM = "reviews";
  private static final int PORTS_PER_HOST = 3;
  private static final NodeSettings.Limits LIMITS = new NodeSettings.Limits(1, 1_000);
  private static final String DOMAIN = "dev";
  private static final String LOOPBACK = "127.0.0.1:";
  private static final double FAR_FACTOR = 1.5;
  private static final int DRAIN_SECONDS = 6;
  private static final Resources TASK_NEED = new Resources(1_000, 64, 0);
  private static final Resources CAPACITY = new Resources(8_000, 8_192, 0);

  private final PlatformStoreStandIn store = new PlatformStoreStandIn(LOOPBACK + 0);
  private final List<PlatformWorkerStandIn> workers = new ArrayList<>();
  private final List<NodeSettings> settings = new ArrayList<>();
  private final List<EntryNode> hosts = new ArrayList<>();
  private final Map<Integer, ServerSocket> silent = new HashMap<>();
  private final HttpCaller caller = new HttpCaller("cluster-caller", 1);

  /**
   * Where an entry host is and what it says of its machine.
   *
   * @param failureDomain its failure domain
   * @param machine what its machine can do
   */
  public record Host(String failureDomain, NodeSettings.Limits machine) {}

  /**
   * Starts a cluster of equal hosts.
   *
   * @param hostCount how many entry hosts
   * @param workerCount how many workers
   * @param observer hears what the workers do
   * @throws IOException if a part can't be started
   */
  public PlatformCluster(int hostCount, int workerCount, LeasedWorker.Observer observer)
      throws IOException {
    this(Collections.nCopies(hostCount, LIMITS), workerCount, observer);
  }

  /**
   * Starts a cluster in one failure domain.
   *
   * @param machines what each entry host says of its machine
   * @param workerCount how many workers
   * @param observer hears what the workers do
   * @throws IOException if a part can't be started
   */
  public PlatformCluster(
      List<NodeSettings.Limits> machines, int workerCount, LeasedWorker.Observer observer)
      throws IOException {
    this(
        machines.stream().map(machine -> new Host(DOMAIN, machine)).toList(),
        Collections.nCopies(workerCount, DOMAIN),
        observer);
  }

  /**
   * Starts a cluster.
   *
   * @param entryHosts the entry hosts
   * @param workerDomains the failure domain of each worker
   * @param observer hears what the workers do
   * @throws IOException if a part can't be started
   */
  public PlatformCluster(
      List<Host> entryHosts, List<String> workerDomains, LeasedWorker.Observer observer)
      throws IOException {
    declare(1);
    for (int i = 0; i < workerDomains.size(); i++) {
      addWorker("worker-" + i, workerDomains.get(i), observer);
    }
    List<Integer> ports = LoopbackServer.freePorts(entryHosts.size() * PORTS_PER_HOST);
    for (int i = 0; i < entryHosts.size(); i++) {
      List<Integer> own = ports.subList(i * PORTS_PER_HOST, ports.size());
      settings.add(settingsOf("host-" + i, entryHosts.get(i), own));
      hosts.add(EntryNode.start(settings.get(i)));
    }
  }

  private void addWorker(String name, String domain, LeasedWorker.Observer observer) {
    WorkerInfo info =
        new WorkerInfo(
            name, UPSTREAM, "", domain, CAPACITY, "a", "rack-1", Set.of("a", "rack-1"), false, 1);
    PlatformWorkerStandIn worker = new PlatformWorkerStandIn(info, TASK_NEED, observer);
    workers.add(worker);
    SampleDocuments.putWorker(store, name, worker);
  }

  /** Returns a host's settings, which take the way through the parser that a file takes. */
  private NodeSettings settingsOf(String name, Host host, List<Integer> ports) {
    Map<String, Object> listen =
        Map.of(
            "callers", LOOPBACK + ports.get(0),
            "ready", LOOPBACK + ports.get(1),
            "peers", LOOPBACK + ports.get(2));
    Map<String, Object> limits =
        Map.of("processorShare", host.machine().cores(), "linkMbps", host.machine().linkMbps());
    Map<String, Object> text =
        Map.of(
            "host", name,
            "failureDomain", host.failureDomain(),
            "listen", listen,
            "store", store.address(),
            "farFactor", FAR_FACTOR,
            "drainSeconds", DRAIN_SECONDS,
            "limits", limits);
    try {
      return NodeSettings.parse(name, JsonText.of(text));
    } catch (InvalidDocumentException e) {
      throw new IllegalStateException("settings of " + name, e);
    }
  }

  /** Declares the sample class of request under a version. */
  public void declare(long version) {
    SampleDocuments.putConfig(store, version, AUTHORITY, PREFIX, UPSTREAM);
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

  /** Ends a host at once, without a graceful shutdown. */
  public void kill(int host) {
    hosts.get(host).close();
  }

  /**
   * Ends a host at once and lets connections to its peers' address open and stay silent, as behind
   * a cut.
   *
   * @throws IOException if the address can't be taken
   */
  public void silence(int host) throws IOException {
    kill(host);
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(HostPort.parse(settings.get(host).listen().peers()));
    silent.put(host, socket);
  }

  /** Starts a silenced host again. */
  public void restore(int host) throws IOException {
    silent.remove(host).close();
    hosts.set(host, EntryNode.start(settings.get(host)));
  }

  /** Ends a host at once and starts it again under its name and address. */
  public void restart(int host) {
    kill(host);
    try {
      hosts.set(host, EntryNode.start(settings.get(host)));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Starts all hosts again, under the names and addresses that they had. */
  public void restartHosts() throws IOException {
    for (int i = 0; i < hosts.size(); i++) {
      hosts.set(i, EntryNode.start(settings.get(i)));
    }
  }

  /**
   * Waits until every host is ready and the leader may give work to all workers, or the time in
   * milliseconds is over. A host is ready before that, and stays without workers if the store is
   * lost in between.
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
    for (NodeSettings each : settings) {
      if (statusOf(each.listen().ready(), "GET", SampleDocuments.READY_PATH, "") != 200) {
        return false;
      }
    }
    return store.keys(ROSTER).size() >= workers.size();
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
   * @param rest what follows the class's prefix
   * @param body the body
   */
  public CompletableFuture<HttpReply> send(int host, String method, String rest, String body) {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    HttpCall call =
        new HttpCall(
            settings.get(host).listen().callers(),
            method,
            PREFIX + rest,
            body,
            "",
            deadline,
            false,
            Map.of("Host", AUTHORITY));
    return caller.call(call);
  }

  /** Returns the body of an ephemeral job of tasks that run for a time in milliseconds. */
  public static String job(int tasks, int millis) {
    return SampleDocuments.job(tasks, millis, (int) TASK_NEED.cpuMillis(), false);
  }

  /** Returns the body of a durable job of tasks that run for a time in milliseconds. */
  public static String durableJob(int tasks, int millis) {
    return SampleDocuments.job(tasks, millis, (int) TASK_NEED.cpuMillis(), true);
  }

  @Override
  public void close() {
    hosts.forEach(EntryNode::close);
    workers.forEach(PlatformWorkerStandIn::close);
    store.close();
    caller.close();
    for (ServerSocket socket : silent.values()) {
      try {
        socket.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }
}
