package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.lead.HostCapacity;

class KnownHostsTest {

  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final HostCapacity CAPACITY = new HostCapacity(1_000);

  private final KnownHosts hosts = new KnownHosts();

  @Test
  void hostIsReachableForLimitedTimeAfterDeregistration() {
    hosts.register("a", "1.2.3.4:5", "north", CAPACITY);
    hosts.deregister("a", MICROS_PER_SECOND);
    assertThat(hosts.addresses()).isEmpty();
    assertThat(hosts.capacities()).isEmpty();
    assertThat(hosts.reachable(2 * MICROS_PER_SECOND)).containsExactly("a", "1.2.3.4:5");
    assertThat(hosts.reachable(31 * MICROS_PER_SECOND)).isEmpty();
  }

  @Test
  void hostThatRegistersAgainIsReachableAtItsNewAddress() {
    hosts.register("a", "1.2.3.4:5", "north", CAPACITY);
    hosts.deregister("a", MICROS_PER_SECOND);
    hosts.register("a", "1.2.3.9:5", "north", CAPACITY);
    assertThat(hosts.reachable(MICROS_PER_SECOND)).containsExactly("a", "1.2.3.9:5");
  }

  @Test
  void addressReusedByAnotherHostBelongsToThatHost() {
    hosts.register("a", "1.2.3.4:5", "north", CAPACITY);
    hosts.deregister("a", MICROS_PER_SECOND);
    hosts.register("b", "1.2.3.4:5", "north", CAPACITY);
    assertThat(hosts.reachable(MICROS_PER_SECOND)).containsExactly("b", "1.2.3.4:5");
  }

  @Test
  void hostsThatAreNotRegisteredAgainStayReachableForLimitedTime() {
    hosts.register("a", "1.2.3.4:5", "north", CAPACITY);
    hosts.register("b", "1.2.3.5:5", "north", CAPACITY);
    hosts.deregisterAll(MICROS_PER_SECOND);
    hosts.register("b", "1.2.3.5:5", "north", CAPACITY);
    assertThat(hosts.addresses()).isEqualTo(Map.of("b", "1.2.3.5:5"));
    assertThat(hosts.reachable(MICROS_PER_SECOND))
        .isEqualTo(Map.of("a", "1.2.3.4:5", "b", "1.2.3.5:5"));
  }
}
