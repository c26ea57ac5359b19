package org.marjoramhoist.connection;

import static com.google.common.truth.Truth.assertThat;
import static org.marjoramhoist.connection.CloseCause.NO_MEMORY;
import static org.marjoramhoist.connection.ConnectionGroup.CALLERS;
import static org.marjoramhoist.connection.ConnectionGroup.CHECKS;
import static org.marjoramhoist.connection.MemoryPool.OPEN;
import static org.marjoramhoist.connection.MemoryPool.UNFINISHED;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.connection.ConnectionEvent.AcceptFailed;
import org.marjoramhoist.connection.ConnectionEvent.Closed;
import org.marjoramhoist.connection.ConnectionEvent.Holds;
import org.marjoramhoist.connection.ConnectionEvent.Opened;
import org.marjoramhoist.connection.ConnectionEvent.Tick;
import org.marjoramhoist.connection.ConnectionEvent.Waits;
import org.marjoramhoist.model.RequestLimits;

/** Which connections are closed, and when. */
class ConnectionTableTest {

  private static final RequestLimits LIMITS = new RequestLimits(1_000, 1_000, 3_000, 15_000);
  private static final long SECOND = 1_000_000;
  private static final long MAX_BYTES = 1 << 20;

  private final ConnectionTable table =
      new ConnectionTable(new ConnectionLimits(3, 1, 1, 1, MAX_BYTES, MAX_BYTES, MAX_BYTES));

  private List<ConnectionAction> open(long now, long id) {
    return table.step(now, new Opened(new ConnectionId(id), CALLERS));
  }

  private void waits(long now, long id, ConnectionPhase phase) {
    assertThat(table.step(now, new Waits(new ConnectionId(id), phase))).isEmpty();
  }

  private List<ConnectionAction> tick(long now) {
    return table.step(now, new Tick(LIMITS));
  }

  private static ConnectionAction close(long id, CloseCause cause) {
    return new ConnectionAction(new ConnectionId(id), cause);
  }

  private void assertEndsAfter(ConnectionPhase phase, long micros, CloseCause cause) {
    open(0, 1);
    waits(SECOND, 1, phase);
    assertThat(tick(SECOND + micros - 1)).isEmpty();
    assertThat(tick(SECOND + micros)).containsExactly(close(1, cause));
  }

  @Test
  void idleConnectionEnds() {
    assertEndsAfter(ConnectionPhase.IDLE, 15 * SECOND, CloseCause.IDLE);
  }

  @Test
  void slowHeadEnds() {
    assertEndsAfter(ConnectionPhase.HEAD, 3 * SECOND, CloseCause.SLOW_HEAD);
  }

  @Test
  void slowBodyEnds() {
    assertEndsAfter(ConnectionPhase.BODY, 15 * SECOND, CloseCause.SLOW_BODY);
  }

  @Test
  void unreadResponseEnds() {
    assertEndsAfter(ConnectionPhase.UNREAD, 15 * SECOND, CloseCause.UNREAD);
  }

  @Test
  void refusedClientEnds() {
    assertEndsAfter(ConnectionPhase.CLOSING, SECOND, CloseCause.REFUSED);
  }

  @Test
  void fewRefusedClientsAreWaitedFor() {
    open(0, 1);
    open(0, 2);
    waits(0, 1, ConnectionPhase.CLOSING);
    assertThat(table.step(1, new Waits(new ConnectionId(2), ConnectionPhase.CLOSING)))
        .containsExactly(close(1, CloseCause.REFUSED));
    table.step(1, new Closed(new ConnectionId(1)));
    open(2, 3);
    waits(2, 3, ConnectionPhase.HEAD);
  }

  @Test
  void clientThatWaitsForItsResponseStays() {
    open(0, 1);
    waits(0, 1, ConnectionPhase.EXCHANGE);
    assertThat(tick(Long.MAX_VALUE - 1)).isEmpty();
  }

  @Test
  void shorterLimitsHoldForOpenConnections() {
    open(0, 1);
    assertThat(tick(SECOND)).isEmpty();
    RequestLimits shorter = new RequestLimits(1_000, 1_000, 3_000, 2_000);
    assertThat(table.step(2 * SECOND, new Tick(shorter)))
        .containsExactly(close(1, CloseCause.IDLE));
  }

  @Test
  void connectionThatNeverSentRequestMakesWay() {
    open(0, 1);
    waits(0, 1, ConnectionPhase.IDLE);
    open(0, 2);
    waits(1, 2, ConnectionPhase.EXCHANGE);
    waits(2, 2, ConnectionPhase.IDLE);
    open(3, 3);
    waits(3, 3, ConnectionPhase.EXCHANGE);
    waits(4, 3, ConnectionPhase.IDLE);
    assertThat(open(2 * SECOND, 4)).containsExactly(close(1, CloseCause.DISPLACED));
    assertThat(open(2 * SECOND, 5)).containsExactly(close(2, CloseCause.DISPLACED));
    assertThat(table.count(CALLERS)).isEqualTo(3);
  }

  @Test
  void newcomersDoNotDisplaceEachOtherAtOnce() {
    open(0, 1);
    waits(0, 1, ConnectionPhase.EXCHANGE);
    waits(1, 1, ConnectionPhase.IDLE);
    open(SECOND, 2);
    open(SECOND, 3);
    assertThat(open(SECOND + 1, 4)).containsExactly(close(1, CloseCause.DISPLACED));
  }

  @Test
  void connectionsInUseAreKeptAndNewOneHasNoPlace() {
    for (int i = 1; i <= 3; i++) {
      open(0, i);
      waits(0, i, ConnectionPhase.EXCHANGE);
    }
    assertThat(open(SECOND, 4)).containsExactly(close(4, CloseCause.NO_PLACE));
    assertThat(table.step(SECOND, new AcceptFailed(CALLERS))).isEmpty();
    table.step(SECOND, new Closed(new ConnectionId(2)));
    assertThat(open(SECOND, 5)).isEmpty();
  }

  @Test
  void groupsHaveBoundsOfTheirOwn() {
    for (int i = 1; i <= 3; i++) {
      open(0, i);
    }
    assertThat(table.step(0, new Opened(new ConnectionId(9), CHECKS))).isEmpty();
    assertThat(table.step(1, new Opened(new ConnectionId(10), CHECKS)))
        .containsExactly(close(9, CloseCause.DISPLACED));
  }

  private List<ConnectionAction> hold(long id, MemoryPool pool, long bytes) {
    return table.step(0, new Holds(new ConnectionId(id), pool, bytes));
  }

  @Test
  void smallRequestTakesTheMemoryOfTheLargestUnfinishedOne() {
    for (int i = 1; i <= 3; i++) {
      open(0, i);
    }
    assertThat(hold(1, UNFINISHED, MAX_BYTES / 2)).isEmpty();
    long free = MAX_BYTES / 2;
    assertThat(hold(2, UNFINISHED, free / 8)).isEmpty();
    long tooMuch = (free - free / 8) / 8 + 1;
    assertThat(hold(3, UNFINISHED, tooMuch)).containsExactly(close(3, NO_MEMORY));
    ConnectionTable small = new ConnectionTable(new ConnectionLimits(3, 1, 1, 1, 4_096, 1, 1));
    small.step(0, new Opened(new ConnectionId(1), CALLERS));
    small.step(0, new Opened(new ConnectionId(2), CALLERS));
    assertThat(small.step(0, new Holds(new ConnectionId(1), UNFINISHED, 2_048))).isEmpty();
    assertThat(small.step(0, new Holds(new ConnectionId(2), UNFINISHED, 2_000)))
        .containsExactly(close(1, NO_MEMORY));
  }

  @Test
  void requestThatIsAnsweredKeepsItsMemory() {
    ConnectionTable small = new ConnectionTable(new ConnectionLimits(3, 1, 1, 1, 1, 4_096, 1));
    small.step(0, new Opened(new ConnectionId(1), CALLERS));
    small.step(0, new Opened(new ConnectionId(2), CALLERS));
    small.step(0, new Holds(new ConnectionId(1), OPEN, 2_048));
    small.step(0, new Waits(new ConnectionId(1), ConnectionPhase.EXCHANGE));
    assertThat(small.step(0, new Holds(new ConnectionId(2), OPEN, 2_000)))
        .containsExactly(close(2, NO_MEMORY));
    assertThat(small.heldBytes(OPEN)).isEqualTo(2_048);
  }

  @Test
  void memoryMovesWithTheRequest() {
    open(0, 1);
    hold(1, UNFINISHED, 500);
    hold(1, OPEN, 700);
    assertThat(table.heldBytes(UNFINISHED)).isEqualTo(0);
    assertThat(table.heldBytes(OPEN)).isEqualTo(700);
    table.step(0, new Closed(new ConnectionId(1)));
    assertThat(table.heldBytes(OPEN)).isEqualTo(0);
  }

  @Test
  void failureToAcceptMakesRoom() {
    open(0, 1);
    open(1, 2);
    assertThat(table.step(SECOND, new AcceptFailed(CALLERS)))
        .containsExactly(close(1, CloseCause.DISPLACED));
    assertThat(table.count(CALLERS)).isEqualTo(1);
  }
}
