package org.marjoramhoist.lead;

/**
 * An input of {@link GracefulShutdown}.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface ShutdownEvent {

  /**
   * The host was told to stop.
   *
   * @param endBy when its process must have ended
   */
  record StopRequested(long endBy) implements ShutdownEvent {}

  /**
   * What is still open was counted.
   *
   * @param exchanges the number of requests read, in whole or in part, that have no whole response
   * @param awaitsSuccessor whether this host leads and another host is to succeed it
   */
  record OpenCounted(int exchanges, boolean awaitsSuccessor) implements ShutdownEvent {}
}
