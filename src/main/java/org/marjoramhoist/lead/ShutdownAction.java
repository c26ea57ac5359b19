package org.marjoramhoist.lead;

/** An action requested by {@link GracefulShutdown}. */
public enum ShutdownAction {
  /** Refuse the requests of connections that are opened from now on. */
  REFUSE_NEW_CONNECTIONS,

  /** Respond to all open requests without their results. */
  ABANDON_OPEN,

  /** Accept no further connection. */
  CLOSE_LISTENER,

  /** Close all connections, and read nothing more. */
  CLOSE_CONNECTIONS
}
