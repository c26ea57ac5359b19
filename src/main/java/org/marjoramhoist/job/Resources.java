package org.marjoramhoist.job;

/**
 * An amount of processor, memory and accelerators.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param cpuMillis thousandths of a core
 * @param memoryMib memory, in MiB
 * @param accelerators accelerators
 */
public record Resources(long cpuMillis, long memoryMib, long accelerators) {

  /** Returns the sum of both amounts. */
  public Resources plus(Resources other) {
    return new Resources(
        cpuMillis + other.cpuMillis,
        memoryMib + other.memoryMib,
        accelerators + other.accelerators);
  }

  /** Returns what is left after the other amount is taken away; may be negative. */
  public Resources minus(Resources other) {
    return new Resources(
        cpuMillis - other.cpuMillis,
        memoryMib - other.memoryMib,
        accelerators - other.accelerators);
  }

  /** Tells whether this amount is enough for another. */
  public boolean covers(Resources need) {
    return cpuMillis >= need.cpuMillis
        && memoryMib >= need.memoryMib
        && accelerators >= need.accelerators;
  }

  // Written out: linking the generated methods takes milliseconds of a process's start.

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
