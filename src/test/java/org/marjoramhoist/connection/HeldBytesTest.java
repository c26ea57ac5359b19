package org.marjoramhoist.connection;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** The bound on what is held for all connections in a pool. */
class HeldBytesTest {

  private static final long MAX = 1 << 20;
  private static final long LARGE = 262_144;
  private static final int CROWD = 10_000;

  private final HeldBytes held = new HeldBytes(MAX);

  @Property
  void sumIsThatOfTheSharesAndBounded(
      @ForAll List<@IntRange(min = 0, max = 600_000) Integer> requests) {
    HeldBytes record = new HeldBytes(MAX);
    Map<ConnectionId, Long> shares = new HashMap<>();
    for (int i = 0; i < requests.size(); i++) {
      ConnectionId id = new ConnectionId(i % 7);
      if (record.set(id, requests.get(i))) {
        shares.put(id, (long) requests.get(i));
      }
      assertThat(record.sum()).isEqualTo(shares.values().stream().mapToLong(n -> n).sum());
      assertThat(record.sum()).isAtMost(MAX);
    }
  }

  @Test
  void crowdOfLargeRequestsLeavesRoomForSmallOnes() {
    for (int i = 0; i < CROWD; i++) {
      held.set(new ConnectionId(i), LARGE);
    }
    assertThat(held.sum()).isAtLeast(LARGE);
    assertThat(held.set(new ConnectionId(CROWD), MAX / 32)).isTrue();
  }

  @Test
  void requestsAreAdmittedUpToOneHalf() {
    assertThat(held.set(new ConnectionId(1), MAX / 2)).isTrue();
    assertThat(held.set(new ConnectionId(2), MAX / 16)).isTrue();
    assertThat(held.set(new ConnectionId(3), MAX / 16)).isFalse();
    assertThat(held.set(new ConnectionId(1), MAX / 2 - 1)).isTrue();
  }

  @Test
  void releasedBytesAreFree() {
    ConnectionId id = new ConnectionId(1);
    assertThat(held.set(id, MAX / 2)).isTrue();
    held.release(id);
    assertThat(held.sum()).isEqualTo(0);
    assertThat(held.set(new ConnectionId(2), MAX / 2)).isTrue();
  }
}
