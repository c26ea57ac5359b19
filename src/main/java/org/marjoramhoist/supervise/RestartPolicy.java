package org.marjoramhoist.supervise;

import java.time.Duration;

/**
 * How often a part may be started again.
 *
 * <p>Immutable.
 *
 * @param maxRestarts how many restarts are allowed within the window; 0 for none
 * @param window the window
 */
public record RestartPolicy(int maxRestarts, Duration window) {

  /** A part whose end is the end of the process. */
  public static final RestartPolicy NEVER = new RestartPolicy(0, Duration.ofMinutes(1));

  /** A part that holds no state of its own. */
  public static final RestartPolicy STATELESS = new RestartPolicy(5, Duration.ofMinutes(1));
}
