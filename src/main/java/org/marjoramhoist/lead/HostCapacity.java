package org.marjoramhoist.lead;

/**
 * What a host's machine could carry as leader, as the runs that it could start a second.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param startsPerSecond the runs; 0 if nothing is known of the machine
 */
public record HostCapacity(long startsPerSecond) implements Comparable<HostCapacity> {

  /** A host that tells nothing of its machine. */
  public static final HostCapacity UNKNOWN = new HostCapacity(0);

  /** Processor time of a leader for one run, from its job's arrival to its end. */
  private static final double CORE_MICROS_PER_START = 120;

  /** What passes over a leader's link for one run, both ways. */
  private static final double LINK_BITS_PER_START = 8_000;

  private static final double MICROS_PER_SECOND = 1_000_000;
  private static final double BITS_PER_MEGABIT = 1_000_000;

  /** How many times as much another host must carry to be worth a change of the leader. */
  private static final double MUCH_LARGER_FACTOR = 1.5;

  /**
   * Returns the capacity of a machine: what its processor or its link allows, whichever is less.
   *
   * @param cores the processor time that it has a second, in seconds
   * @param linkMbps the bandwidth of its link, in Mbit/s
   */
  public static HostCapacity of(double cores, double linkMbps) {
    double byProcessor = cores * MICROS_PER_SECOND / CORE_MICROS_PER_START;
    double byLink = linkMbps * BITS_PER_MEGABIT / LINK_BITS_PER_START;
    return new HostCapacity((long) Math.min(byProcessor, byLink));
  }

  /** Tells whether another host carries so much more that it should lead instead. */
  public boolean isMuchSmallerThan(HostCapacity other) {
    return other.startsPerSecond > MUCH_LARGER_FACTOR * startsPerSecond;
  }

  @Override
  public int compareTo(HostCapacity other) {
    return Long.compare(startsPerSecond, other.startsPerSecond);
  }
}
