package org.marjoramhoist.config;

import org.marjoramhoist.json.StrictObject;

/**
 * Reads how much memory something may take, by default a part of the heap.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class HeapPart {

  private static final long KIB = 1_024;
  private static final long MAX_KIB = 64 << 20;

  private HeapPart() {}

  /**
   * Returns a bound in bytes.
   *
   * @param key the setting, in KiB
   * @param part the default is the heap divided by this
   * @param minKib the least value, in KiB
   */
  static long bytes(StrictObject object, String key, int part, long minKib) {
    long fallback = Math.max(minKib, Runtime.getRuntime().maxMemory() / part / KIB);
    return KIB * object.number(key, minKib, MAX_KIB, fallback);
  }
}
