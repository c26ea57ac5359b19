package org.marjoramhoist.platform.standin;

import org.marjoramhoist.platform.StoreDocuments;

/**
 * Small documents in the platform's formats, for trials.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class SampleDocuments {

  /** The path on which a host tells whether it is ready. */
  public static final String READY_PATH = "/v1/ready";

  private static final String CONFIG =
      """
      {"version":%d,"routes":[{"name":"check","host":"%s","prefix":"%s","targetRuntimeMs":2000,
       "priority":0,"service":"%s","attempts":3,"stretch":1.6}],"services":[]}
      """;

  private static final String JOB =
      """
      {"spec":"%d","steps":[{"count":%d,"cpu":%d,"memMb":64,"estimateMs":%d}],"bestEffort":%s}
      """;

  private SampleDocuments() {}

  /** Writes a configuration with one class of request. */
  public static void putConfig(
      PlatformStoreStandIn store, long version, String authority, String prefix, String upstream) {
    store.put(StoreDocuments.CONFIG_KEY, CONFIG.formatted(version, authority, prefix, upstream));
  }

  /** Writes a worker's entry. */
  public static void putWorker(
      PlatformStoreStandIn store, String name, PlatformWorkerStandIn worker) {
    store.put(StoreDocuments.WORKERS_PREFIX + name, worker.entry(false));
  }

  /** Returns the body of a job of tasks that run for a time in milliseconds. */
  public static String job(int tasks, int millis, int cpuMillis, boolean durable) {
    return JOB.formatted(millis, tasks, cpuMillis, millis, !durable);
  }
}
