package org.marjoramhoist.job;

/**
 * An amount of CPU, memory and accelerators.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param cpuMillis CPU, in thousandths of a core
 * @param memoryMib memory, in MiB
 * @param accelerators number of accelerators
 */
public record Resources(long cpuMillis, long memoryMib, long accelerators) {

  /** Returns the sum of both amounts. */
  public Resources plus(Resources other) {
    return new Resources(
        cpuMillis + other.cpuMillis,
        memoryMib + other.memoryMib,
        accelerators + other.accelerators);
  }

  /** Returns the difference of both amounts; its components may be negative. */
  public Resources minus(Resources other) {
    return new Resources(
        cpuMillis - other.cpuMillis,
        memoryMib - other.memoryMib,
        accelerators - other.accelerators);
  }

  /** Returns the larger of both amounts in each component. */
  public Resources max(Resources other) {
    return new Resources(
        Math.max(cpuMillis, other.cpuMillis),
        Math.max(memoryMib, other.memoryMib),
        Math.max(accelerators, other.accelerators));
  }

  /** Returns whether every component of this amount is at least that of the other. */
  public boolean covers(Resources need) {
    return cpuMillis >= need.cpuMillis
        && memoryMib >= need.memoryMib
        && accelerators >= need.accelerators;
  }

  // Explicit implementations: linking the generated record methods adds milliseconds to startup.

  @Override
  public boolean equals(Object other) {
    return other instanceof Resources that
        && cpuMillis == that.cpuMillis
        && memoryMib == that.memoryMib
        && accelerators == that.accelerators;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(cpuMillis) ^ Long.hashCode(memoryMib) ^ Long.hashCode(accelerators);
  }
}
