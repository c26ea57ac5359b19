package org.marjoramhoist.model;

/**
 * A bound on what many requests use together, under which large ones leave room for small ones.
 *
 * <p>Up to a half of it goes to whoever comes. Of the rest a request may take a fraction of what is
 * free, so that a small one is admitted however many large ones there are. Immutable and safe for
 * use by several threads.
 *
 * @param max the most that is used together
 */
public record SharedBound(long max) {

  private static final int FREE_FRACTION = 8;

  /**
   * Returns whether a request may use an amount.
   *
   * @param used what the others use
   * @param wanted the whole amount of the request
   */
  public boolean admits(long used, long wanted) {
    long free = max - used;
    return free - wanted >= max / 2 || wanted <= free / FREE_FRACTION;
  }
}
