package org.marjoramhoist.lead;

import java.util.ArrayList;
import java.util.List;

/**
 * The state machine of a host's graceful shutdown, which decides until when requests are accepted
 * and when the listener and the connections are closed.
 *
 * <p>Invariants: no request is accepted after its result could come too late for a response.
 * Connections are closed only while no request is open, or when the time to end has come. The
 * connections that are accepted from are finite in number from the end of the grace period on, and
 * each response closes one, so callers can't prolong the shutdown by sending more. Times are in
 * microseconds on the host's monotonic clock. Confined to one thread.
 */
public final class GracefulShutdown {

  /** How long new connections may still arrive after a stop was requested. */
  private static final long NEW_CONNECTIONS_GRACE_MICROS = 2_300_000;

  /** The part of the shutdown time that is reserved for responses to requests without a result. */
  private static final long RESPONSE_RESERVE_MICROS = 700_000;

  /** The part of the shutdown time that is reserved for the end of the process. */
  private static final long END_RESERVE_MICROS = 200_000;

  /** How long requests are refused on open connections after the listener was closed. */
  private static final long LINGER_MICROS = 100_000;

  private enum Phase {
    RUNNING,
    /** Requests are accepted on all connections. */
    GRACE,
    /** Requests are accepted on connections that were opened before. */
    DRAINING,
    /** Requests are refused; open ones are responded to. */
    RESPONDING,
    /** No connection is accepted, requests on open ones are refused. */
    LINGERING,
    ENDED
  }

  private Phase phase = Phase.RUNNING;
  private long newConnectionsUntil;
  private long resultsUntil;
  private long connectionsUntil;
  private long lingerUntil;

  /** Returns whether a stop was requested. */
  public boolean hasStarted() {
    return phase != Phase.RUNNING;
  }

  /** Returns whether the connections were closed. */
  public boolean hasEnded() {
    return phase == Phase.ENDED;
  }

  /** Returns whether a request is accepted on a connection from before the end of the grace. */
  public boolean accepts(long now) {
    return switch (phase) {
      case RUNNING -> true;
      case GRACE, DRAINING -> now < resultsUntil;
      default -> false;
    };
  }

  /** Returns the time by which the result of a request must be known, given its own deadline. */
  public long limit(long deadline) {
    return hasStarted() ? Math.min(deadline, resultsUntil) : deadline;
  }

  /** Handles an event and returns the actions to be executed. */
  public List<ShutdownAction> step(long now, ShutdownEvent event) {
    if (event instanceof ShutdownEvent.StopRequested request) {
      start(now, request.endBy());
      return List.of();
    }
    return counted(now, (ShutdownEvent.OpenCounted) event);
  }

  private void start(long now, long endBy) {
    if (hasStarted()) {
      return;
    }
    phase = Phase.GRACE;
    resultsUntil = endBy - RESPONSE_RESERVE_MICROS;
    newConnectionsUntil = Math.min(now + NEW_CONNECTIONS_GRACE_MICROS, resultsUntil);
    connectionsUntil = endBy - END_RESERVE_MICROS;
  }

  private List<ShutdownAction> counted(long now, ShutdownEvent.OpenCounted open) {
    List<ShutdownAction> actions = new ArrayList<>();
    if (phase == Phase.GRACE && now >= newConnectionsUntil) {
      phase = Phase.DRAINING;
      actions.add(ShutdownAction.REFUSE_NEW_CONNECTIONS);
    }
    if (phase == Phase.DRAINING && now >= resultsUntil) {
      phase = Phase.RESPONDING;
      actions.add(ShutdownAction.ABANDON_OPEN);
    } else if (hasDrained(now, open)) {
      phase = Phase.LINGERING;
      lingerUntil = Math.min(now + LINGER_MICROS, connectionsUntil);
      actions.add(ShutdownAction.CLOSE_LISTENER);
    } else if (hasLingered(now, open)) {
      phase = Phase.ENDED;
      actions.add(ShutdownAction.CLOSE_CONNECTIONS);
    }
    return actions;
  }

  private boolean hasDrained(long now, ShutdownEvent.OpenCounted open) {
    return switch (phase) {
      case DRAINING -> open.exchanges() == 0 && !open.awaitsSuccessor();
      case RESPONDING -> open.exchanges() == 0 || now >= connectionsUntil - LINGER_MICROS;
      default -> false;
    };
  }

  private boolean hasLingered(long now, ShutdownEvent.OpenCounted open) {
    return phase == Phase.LINGERING
        && (open.exchanges() == 0 ? now >= lingerUntil : now >= connectionsUntil);
  }
}
