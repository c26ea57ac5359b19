package org.marjoramhoist.lead;

/**
 * The capacity of a host as leader: how many runs a second it could start on its machine.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param startsPerSecond the runs started a second; 0 if the machine's capacity is unknown
 */
public record HostCapacity(long startsPerSecond) implements Comparable<HostCapacity> {

  /** The capacity of a host that does not report its machine's resources. */
  public static final HostCapacity UNKNOWN = new HostCapacity(0);

  /** Processor time of a leader for one run, from the arrival of its job to its end. */
  private static final double CORE_MICROS_PER_START = 120;

  /** Traffic on a leader's network link for one run, in both directions. */
  private static final double LINK_BITS_PER_START = 8_000;

  private static final double MICROS_PER_SECOND = 1_000_000;
  private static final double BITS_PER_MEGABIT = 1_000_000;

  /** The factor by which another host's capacity must be larger to justify a change of leader. */
  private static final double MUCH_LARGER_FACTOR = 1.5;

  /**
   * Returns the capacity of a machine, limited by its processor or by its network link.
   *
   * @param cores the number of processor cores available, which may be fractional
   * @param linkMbps the bandwidth of its link, in Mbit/s
   */
  public static HostCapacity of(double cores, double linkMbps) {
    double byProcessor = cores * MICROS_PER_SECOND / CORE_MICROS_PER_START;
    double byLink = linkMbps * BITS_PER_MEGABIT / LINK_BITS_PER_START;
    return new HostCapacity((long) Math.min(byProcessor, byLink));
  }

  /** Returns whether another host's capacity is so much larger that it should lead instead. */
  public boolean isMuchSmallerThan(HostCapacity other) {
    return other.startsPerSecond > MUCH_LARGER_FACTOR * startsPerSecond;
  }

  @Override
  public int compareTo(HostCapacity other) {
    return Long.compare(startsPerSecond, other.startsPerSecond);
  }
}
