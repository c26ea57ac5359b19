package org.marjoramhoist.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * When the processes of workers ended lately, by address, as a replacement may have another id.
 *
 * <p>Invariant: only ends that are known, not guessed, are recorded. Confined to one thread.
 */
final class ProcessEnds {

  /** How long an end is remembered. */
  private static final long RETENTION_MICROS = 5_000_000;

  /** After so many ends within that time the worker is taken for the cause of the next one. */
  private static final int ENDS_OF_UNRELIABLE_WORKER = 2;

  private final Map<String, List<Long>> endedAt = new HashMap<>();

  /** Records that the process at an address has ended. */
  void record(String address, long now) {
    endedAt.values().forEach(times -> times.removeIf(time -> now - time > RETENTION_MICROS));
    endedAt.values().removeIf(List::isEmpty);
    endedAt.computeIfAbsent(address, key -> new ArrayList<>()).add(now);
  }

  /** Tells whether a process ended at an address shortly before a time. */
  boolean anyBefore(String address, long time) {
    return countBefore(address, time) > 0;
  }

  /** Tells whether so many ended there shortly before a time that the next end proves nothing. */
  boolean isUnreliableAt(String address, long time) {
    return countBefore(address, time) >= ENDS_OF_UNRELIABLE_WORKER;
  }

  private long countBefore(String address, long time) {
    return endedAt.getOrDefault(address, List.of()).stream()
        .filter(end -> end <= time && time - end <= RETENTION_MICROS)
        .count();
  }
}
