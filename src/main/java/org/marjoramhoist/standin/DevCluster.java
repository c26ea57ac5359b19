package org.marjoramhoist.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.marjoramhoist.config.Settings;
import org.marjoramhoist.host.EntryHost;
import org.marjoramhoist.http.LoopbackPorts;
import org.marjoramhoist.json.InvalidDocumentException;

/**
 * Entry hosts, a store stand-in and worker stand-ins of different speeds in one process.
 *
 * <p>Safe for use by several threads.
 */
public final class DevCluster implements AutoCloseable {

  private static final double[] SLOWNESS = {1, 1.2, 1.5, 2, 3};
  private static final int SLOTS = 8;
  private static final String LOOPBACK = "127.0.0.1:";

  private static final String SETTINGS =
      """
      {
        "host": "dev-%d",
        "domain": "%s",
        "domains": ["%s"],
        "listen": {
          "callers": "127.0.0.1:%d",
          "operators": "127.0.0.1:%d",
          "peers": "127.0.0.1:%d",
        },
        "peers": [%s],
        "store": {"endpoints": ["%s"], "callsPerSecond": 200},
        "timing": {"heartbeatMillis": 100, "suspectMillis": 400, "deadMillis": 800},
      }
      """;

  private static final String WORKER =
      """
      {"name": "%s", "address": "%s", "domain": "%s", "slots": %d, "cores": 16,
       "memoryMb": 64000, "rack": "rack-%d"}
      """;

  private static final String DECLARATIONS =
      """
      [
        {"kind": "team", "name": "demo", "spec": {"quotaTasks": 5000, "share": 1}},
        {"kind": "upstream", "name": "smoke-map", "spec": {"workers": [%s]}},
        {"kind": "class", "name": "plume-snapshot",
         "spec": {"upstream": "smoke-map", "expectedMillis": 100, "maxAttempts": 3}}
      ]
      """;

  private final StoreStandIn store;
  private final List<WorkerStandIn> workers = new ArrayList<>();
  private final List<Settings> settings = new ArrayList<>();
  private final List<EntryHost> hosts = new ArrayList<>();
  private final String domain;

  /**
   * Starts a cluster.
   *
   * @param hostCount how many entry hosts
   * @param workerCount how many workers
   * @throws Exception if a part can't be started
   */
  public DevCluster(int hostCount, int workerCount) throws Exception {
    domain = "dev";
    store = new StoreStandIn(LOOPBACK + 0);
    for (int i = 0; i < workerCount; i++) {
      WorkerStandIn worker = new WorkerStandIn("worker-" + (i + 1), LOOPBACK + 0, SLOTS);
      worker.setFaults(WorkerFaults.slow(SLOWNESS[i % SLOWNESS.length]));
      workers.add(worker);
    }
    List<Integer> ports = LoopbackPorts.free(hostCount * 3);
    for (int i = 0; i < hostCount; i++) {
      settings.add(settingsOf(i, ports));
    }
    for (Settings one : settings) {
      hosts.add(EntryHost.start(one));
    }
  }

  private Settings settingsOf(int index, List<Integer> ports) throws InvalidDocumentException {
    List<String> peers = new ArrayList<>();
    for (int i = 0; i < ports.size() / 3; i++) {
      if (i != index) {
        peers.add("\"" + LOOPBACK + ports.get(i * 3 + 2) + "\"");
      }
    }
    String text =
        String.format(
            Locale.ROOT,
            SETTINGS,
            index + 1,
            domain,
            domain,
            ports.get(index * 3),
            ports.get(index * 3 + 1),
            ports.get(index * 3 + 2),
            String.join(", ", peers),
            store.address());
    return Settings.parse("embedded settings", text);
  }

  /** Returns declarations of a team, an upstream with all workers, and a class of request. */
  public String declarations() {
    List<String> list = new ArrayList<>();
    for (int i = 0; i < workers.size(); i++) {
      WorkerStandIn worker = workers.get(i);
      list.add(
          String.format(
              Locale.ROOT, WORKER, worker.name(), worker.address(), domain, SLOTS, i / 2));
    }
    return String.format(Locale.ROOT, DECLARATIONS, String.join(",\n", list));
  }

  /** Returns the store. */
  public StoreStandIn store() {
    return store;
  }

  /** Returns the workers. */
  public List<WorkerStandIn> workers() {
    return workers;
  }

  /** Returns the entry hosts. */
  public List<EntryHost> hosts() {
    return hosts;
  }

  @Override
  public void close() {
    hosts.forEach(EntryHost::close);
    workers.forEach(WorkerStandIn::close);
    store.close();
  }
}
