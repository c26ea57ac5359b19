package org.marjoramhoist.resource;

/**
 * An amount of each resource that a task needs or a worker has.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param cores processor cores
 * @param memoryMb memory, in megabytes
 * @param accelerators accelerators
 */
public record Needs(int cores, long memoryMb, int accelerators) {

  /** Tells whether this amount covers the needed one in each resource. */
  public boolean covers(Needs needed) {
    return cores >= needed.cores
        && memoryMb >= needed.memoryMb
        && accelerators >= needed.accelerators;
  }
}
