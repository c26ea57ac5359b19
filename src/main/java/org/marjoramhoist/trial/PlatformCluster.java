package org.marjoramhoist.trial;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.marjoramhoist.config.NodeSettings;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.entry.EntryNode;
import org.marjoramhoist.experiment.LeasedWorker;
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
  private static final String LOOPBACK = "127.0.0.1:";
  private static final double FAR_FACTOR = 1.5;
  private static final int DRAIN_SECONDS = 6;
  private static final Resources TASK_NEED = new Resources(1_000, 64, 0);
  private static final Resources CAPACITY = new Resources(8_000, 8_192, 0);

  private final PlatformStoreStandIn store = new PlatformStoreStandIn(LOOPBACK + 0);
  private final List<PlatformWorkerStandIn> workers = new ArrayList<>();
  private final List<NodeSettings> settings = new ArrayList<>();
  private final List<EntryNode> hosts = new ArrayList<>();
  private final HttpCaller caller = new HttpCaller("cluster-caller", 1);

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
   * Starts a cluster.
   *
   * @param machines what each entry host says of its machine
   * @param workerCount how many workers
   * @param observer hears what the workers do
   * @throws IOException if a part can't be started
   */
  public PlatformCluster(
      List<NodeSettings.Limits> machines, int workerCount, LeasedWorker.Observer observer)
      throws IOException {
    declare(1);
    final int hostCount = machines.size();
    for (int i = 0; i < workerCount; i++) {
      addWorker("worker-" + i, observer);
    }
    List<Integer> ports = LoopbackServer.freePorts(hostCount * PORTS_PER_HOST);
    for (int i = 0; i < hostCount; i++) {
      settings.add(
          settingsOf(
              "host-" + i, machines.get(i), ports.subList(i * PORTS_PER_HOST, ports.size())));
      hosts.add(EntryNode.start(settings.get(i)));
    }
  }

  private void addWorker(String name, LeasedWorker.Observer observer) {
    WorkerInfo info =
        new WorkerInfo(
            name, UPSTREAM, "", "dev", CAPACITY, "a", "rack-1", Set.of("a", "rack-1"), false, 1);
    PlatformWorkerStandIn worker = new PlatformWorkerStandIn(info, TASK_NEED, observer);
    workers.add(worker);
    SampleDocuments.putWorker(store, name, worker);
  }

  /** Returns a host's settings, which take the way through the parser that a file takes. */
  private NodeSettings settingsOf(String name, NodeSettings.Limits machine, List<Integer> ports) {
    Map<String, Object> listen =
        Map.of(
            "callers", LOOPBACK + ports.get(0),
            "ready", LOOPBACK + ports.get(1),
            "peers", LOOPBACK + ports.get(2));
    Map<String, Object> limits =
        Map.of("processorShare", machine.cores(), "linkMbps", machine.linkMbps());
    Map<String, Object> text =
        Map.of(
            "host", name,
            "failureDomain", "dev",
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
  }
}
