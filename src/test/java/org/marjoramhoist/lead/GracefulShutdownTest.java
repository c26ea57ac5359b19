package org.marjoramhoist.lead;

import static com.google.common.truth.Truth.assertThat;
import static org.marjoramhoist.lead.ShutdownAction.ABANDON_OPEN;
import static org.marjoramhoist.lead.ShutdownAction.CLOSE_CONNECTIONS;
import static org.marjoramhoist.lead.ShutdownAction.CLOSE_LISTENER;
import static org.marjoramhoist.lead.ShutdownAction.REFUSE_NEW_CONNECTIONS;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class GracefulShutdownTest {

  private static final long START = 1_000_000;
  private static final long MILLI = 1_000;

  private final GracefulShutdown shutdown = new GracefulShutdown();

  @BeforeEach
  void start() {
    assertThat(shutdown.accepts(START)).isTrue();
    assertThat(shutdown.limit(Long.MAX_VALUE)).isEqualTo(Long.MAX_VALUE);
    shutdown.step(START, new ShutdownEvent.StopRequested(START + 6_000 * MILLI));
  }

  private List<ShutdownAction> counted(long millis, int open) {
    return counted(millis, open, false);
  }

  private List<ShutdownAction> counted(long millis, int open, boolean awaitsSuccessor) {
    return shutdown.step(
        START + millis * MILLI, new ShutdownEvent.OpenCounted(open, awaitsSuccessor));
  }

  private boolean accepts(long millis) {
    return shutdown.accepts(START + millis * MILLI);
  }

  @Test
  void idleHostWaitsForNewConnectionsOnly() {
    assertThat(counted(2_290, 0)).isEmpty();
    assertThat(accepts(2_290)).isTrue();
    assertThat(counted(2_300, 0)).containsExactly(REFUSE_NEW_CONNECTIONS, CLOSE_LISTENER).inOrder();
    assertThat(accepts(2_300)).isFalse();
    assertThat(counted(2_390, 0)).isEmpty();
    assertThat(counted(2_400, 0)).containsExactly(CLOSE_CONNECTIONS);
    assertThat(shutdown.hasEnded()).isTrue();
    assertThat(counted(2_420, 0)).isEmpty();
  }

  @Test
  void openConnectionsAreServedWhileOthersAreRefused() {
    assertThat(counted(2_300, 3)).containsExactly(REFUSE_NEW_CONNECTIONS);
    assertThat(accepts(2_310)).isTrue();
    assertThat(counted(3_000, 1)).isEmpty();
    assertThat(counted(3_020, 0)).containsExactly(CLOSE_LISTENER);
    assertThat(accepts(3_020)).isFalse();
  }

  @Test
  void connectionsStayOpenUntilLastRequestIsAnswered() {
    counted(2_300, 0);
    assertThat(counted(2_400, 1)).isEmpty();
    assertThat(counted(2_500, 0)).containsExactly(CLOSE_CONNECTIONS);
  }

  @Test
  void openRequestsAreAbandonedInTimeForTheirResponses() {
    counted(2_300, 1);
    assertThat(shutdown.limit(Long.MAX_VALUE)).isEqualTo(START + 5_300 * MILLI);
    assertThat(accepts(5_299)).isTrue();
    assertThat(accepts(5_300)).isFalse();
    assertThat(counted(5_300, 2)).containsExactly(ABANDON_OPEN);
    assertThat(counted(5_320, 1)).isEmpty();
    assertThat(counted(5_340, 0)).containsExactly(CLOSE_LISTENER);
    assertThat(counted(5_440, 0)).containsExactly(CLOSE_CONNECTIONS);
  }

  @Test
  void responseThatIsNeverReadEndsWithTheHost() {
    counted(2_300, 1);
    counted(5_300, 1);
    assertThat(counted(5_699, 1)).isEmpty();
    assertThat(counted(5_700, 1)).containsExactly(CLOSE_LISTENER);
    assertThat(counted(5_799, 1)).isEmpty();
    assertThat(counted(5_800, 1)).containsExactly(CLOSE_CONNECTIONS);
  }

  @Test
  void leaderWaitsForItsSuccessorUntilItsResultsAreDue() {
    assertThat(counted(2_300, 0, true)).containsExactly(REFUSE_NEW_CONNECTIONS);
    assertThat(counted(5_000, 0, true)).isEmpty();
    assertThat(counted(5_300, 0, true)).containsExactly(ABANDON_OPEN);
    assertThat(counted(5_320, 0, true)).containsExactly(CLOSE_LISTENER);
  }

  @Test
  void secondStopRequestChangesNothing() {
    counted(2_300, 1);
    shutdown.step(START + 3_000 * MILLI, new ShutdownEvent.StopRequested(START + 9_000 * MILLI));
    assertThat(counted(5_300, 1)).containsExactly(ABANDON_OPEN);
  }
}
