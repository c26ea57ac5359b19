package org.marjoramhoist.platform.standin;

import java.util.Locale;
import org.marjoramhoist.platform.StoreDocuments;
import org.marjoramhoist.platform.WorkerEntries;

/**
 * Sample documents in the platform's formats, for tests and trials.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class SampleDocuments {

  /** The path of a host's readiness check. */
  public static final String READY_PATH = "/v1/ready";

  private static final String CONFIG =
      """
      {"version":%d,"routes":[{"name":"check","host":"%s","prefix":"%s","targetRuntimeMs":2000,
       "priority":0,"service":"%s","attempts":3,"stretch":1.6}],"services":[]}
      """;

  /** Letters of each length in UTF-8, as callers may send. */
  public static final String LETTERS = "æ Š 測 😀";

  private static final String JOB =
      """
      {"spec":"%d %s","steps":[{"count":%d,"cpu":%d,"memMb":64,"estimateMs":%d}],"bestEffort":%s}
      """;

  private SampleDocuments() {}

  /** Stores a configuration with one request class. */
  public static void putConfig(
      PlatformStoreStandIn store, long version, String authority, String prefix, String upstream) {
    store.put(
        StoreDocuments.CONFIG_KEY,
        String.format(Locale.ROOT, CONFIG, version, authority, prefix, upstream));
  }

  /** Stores a worker's registration. */
  public static void putWorker(
      PlatformStoreStandIn store, String name, PlatformWorkerStandIn worker) {
    store.put(WorkerEntries.PREFIX + name, worker.registration(false));
  }

  /** Returns the body of a job whose tasks run for {@code millis} each. */
  public static String job(int tasks, int millis, int cpuMillis, boolean durable) {
    return String.format(Locale.ROOT, JOB, millis, LETTERS, tasks, cpuMillis, millis, !durable);
  }
}
