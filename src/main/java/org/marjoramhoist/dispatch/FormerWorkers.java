package org.marjoramhoist.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The workers that were forgotten lately, as their entries had lapsed: they may be cut off and come
 * back.
 *
 * <p>Invariant: no worker is among them that is known now. Confined to one thread.
 */
final class FormerWorkers {

  private static final long RETENTION_MICROS = 60_000_000;

  private record Former(Worker worker, long rememberedUntil) {}

  private final Map<String, Former> workers = new LinkedHashMap<>();

  /** Adds a worker that was forgotten. */
  void add(Worker worker, long now) {
    workers.values().removeIf(each -> now > each.rememberedUntil());
    workers.put(worker.id(), new Former(worker, now + RETENTION_MICROS));
  }

  /** Removes a worker that is known again. */
  void remove(String id) {
    workers.remove(id);
  }

  /** Tells whether any of them matches. */
  boolean anyMatch(Predicate<Worker> condition, long now) {
    return workers.values().stream()
        .anyMatch(each -> now <= each.rememberedUntil() && condition.test(each.worker()));
  }
}
