package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.lead.HostCapacity;

class KnownHostsTest {

  private static final long SECOND = 1_000_000;
  private static final HostCapacity CAPACITY = new HostCapacity(1_000);

  private final KnownHosts hosts = new KnownHosts();

  @Test
  void hostIsReachableForTimeAfterItsRegistrationIsGone() {
    hosts.register("a", "1.2.3.4:5", "north", CAPACITY);
    hosts.deregister("a", SECOND);
    assertThat(hosts.addresses()).isEmpty();
    assertThat(hosts.capacities()).isEmpty();
    assertThat(hosts.reachable(2 * SECOND)).containsExactly("a", "1.2.3.4:5");
    assertThat(hosts.reachable(31 * SECOND)).isEmpty();
  }

  @Test
  void hostThatRegistersAgainIsReachableAtItsNewAddress() {
    hosts.register("a", "1.2.3.4:5", "north", CAPACITY);
    hosts.deregister("a", SECOND);
    hosts.register("a", "1.2.3.9:5", "north", CAPACITY);
    assertThat(hosts.reachable(SECOND)).containsExactly("a", "1.2.3.9:5");
  }

  @Test
  void addressThatAnotherHostHasTakenIsItsAlone() {
    hosts.register("a", "1.2.3.4:5", "north", CAPACITY);
    hosts.deregister("a", SECOND);
    hosts.register("b", "1.2.3.4:5", "north", CAPACITY);
    assertThat(hosts.reachable(SECOND)).containsExactly("b", "1.2.3.4:5");
  }

  @Test
  void hostsThatAreNotToldAgainAreFormer() {
    hosts.register("a", "1.2.3.4:5", "north", CAPACITY);
    hosts.register("b", "1.2.3.5:5", "north", CAPACITY);
    hosts.deregisterAll(SECOND);
    hosts.register("b", "1.2.3.5:5", "north", CAPACITY);
    assertThat(hosts.addresses()).isEqualTo(Map.of("b", "1.2.3.5:5"));
    assertThat(hosts.reachable(SECOND)).isEqualTo(Map.of("a", "1.2.3.4:5", "b", "1.2.3.5:5"));
  }
}
