package org.marjoramhoist.cli;

import java.util.concurrent.CompletableFuture;

/**
 * Stops a host in an orderly way when its process is told to end, also while the host starts: the
 * process then ends after the start and the stop, or after the start has failed.
 *
 * <p>Later signals to end have no effect while the stop goes on. Safe for use by several threads.
 */
final class StopHook {

  private final CompletableFuture<Runnable> stop = new CompletableFuture<>();
  private final Thread thread = new Thread(this::run, "shutdown");

  /** Installs a hook; to be called before the host opens its listeners. */
  static StopHook install() {
    StopHook hook = new StopHook();
    Runtime.getRuntime().addShutdownHook(hook.thread);
    return hook;
  }

  /** Records that the host has started, and what stops it. */
  void started(Runnable orderlyStop) {
    stop.complete(orderlyStop);
  }

  /** Records that the host doesn't start, unless it has. */
  void startEnded() {
    stop.complete(() -> {});
  }

  /** Removes the hook, as the host ends by itself. */
  void remove() {
    Runtime.getRuntime().removeShutdownHook(thread);
  }

  /** Waits until the host has started or doesn't start, and stops it. */
  void run() {
    stop.join().run();
  }
}
