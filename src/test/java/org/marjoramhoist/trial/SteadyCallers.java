package org.marjoramhoist.trial;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.marjoramhoist.http.RawCaller;

/**
 * Callers of one host, each of which sends a short job a little after its last response, and
 * connects again once its connection is closed.
 *
 * <p>Safe for use by several threads.
 */
final class SteadyCallers implements AutoCloseable {

  private static final int PAUSE_MILLIS = 30;

  /** The whole responses, by job. */
  final Map<String, RawCaller.Response> responses = new ConcurrentHashMap<>();

  /** The jobs that were sent in full and whose connection ended without a whole response. */
  final Set<String> cut = ConcurrentHashMap.newKeySet();

  private final AtomicInteger jobs = new AtomicInteger();
  private final List<Thread> threads = new ArrayList<>();
  private final String address;
  private final String idFormat;
  private final int taskMillis;
  private volatile boolean stopped;

  /**
   * Starts the callers.
   *
   * @param address the address of the host
   * @param idFormat makes a job's ID of its number
   * @param taskMillis how long each job takes
   */
  SteadyCallers(int count, String address, String idFormat, int taskMillis) {
    this.address = address;
    this.idFormat = idFormat;
    this.taskMillis = taskMillis;
    for (int i = 0; i < count; i++) {
      Thread thread = new Thread(this::call, "caller-" + i);
      threads.add(thread);
      thread.start();
    }
  }

  /** Returns the bytes of a request that submits a job of the sample class. */
  static byte[] submission(String id, String body) {
    return RawCaller.post(PlatformCluster.AUTHORITY, PlatformCluster.PATH_PREFIX + id, body);
  }

  private void call() {
    while (!stopped) {
      try (RawCaller caller = new RawCaller(address)) {
        boolean open = true;
        while (open && !stopped) {
          open = callOnce(caller);
          Thread.sleep(PAUSE_MILLIS);
        }
      } catch (IOException e) {
        pause();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Sends a job and returns whether the connection can be used again. */
  private boolean callOnce(RawCaller caller) throws IOException {
    String id = String.format(Locale.ROOT, idFormat, jobs.incrementAndGet());
    caller.send(submission(id, PlatformCluster.job(1, taskMillis)));
    try {
      RawCaller.Response response = caller.receive();
      responses.put(id, response);
      return !response.closesConnection();
    } catch (IOException e) {
      cut.add(id);
      return false;
    }
  }

  private static void pause() {
    try {
      Thread.sleep(PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Ends the callers after their present responses. */
  @Override
  public void close() throws InterruptedException {
    stopped = true;
    for (Thread thread : threads) {
      thread.join();
    }
  }
}
