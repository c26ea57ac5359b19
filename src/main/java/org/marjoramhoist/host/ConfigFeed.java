package org.marjoramhoist.host;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.marjoramhoist.decision.ConfigView;

/**
 * The configuration in force, and those who wait for a later one.
 *
 * <p>Safe for use by several threads.
 */
final class ConfigFeed {

  private final Map<CompletableFuture<ConfigView>, Long> waiting = new ConcurrentHashMap<>();
  private volatile ConfigView view = ConfigView.EMPTY;

  ConfigView view() {
    return view;
  }

  /** Takes in that a configuration is in force. */
  void set(ConfigView next) {
    view = next;
    waiting.forEach(
        (future, since) -> {
          if (next.revision() > since) {
            future.complete(next);
          }
        });
  }

  /** Returns the first configuration after a revision, or the present one after the wait. */
  CompletableFuture<ConfigView> after(long since, long waitMillis) {
    CompletableFuture<ConfigView> future = new CompletableFuture<>();
    waiting.put(future, since);
    if (view.revision() > since) {
      future.complete(view);
    }
    return future
        .completeOnTimeout(null, waitMillis, TimeUnit.MILLISECONDS)
        .thenApply(next -> next == null ? view : next)
        .whenComplete((next, error) -> waiting.remove(future));
  }
}
