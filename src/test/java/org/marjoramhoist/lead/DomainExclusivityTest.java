package org.marjoramhoist.lead;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * In which failure domains the partition's leader can exclude another leader. Guards against two
 * leaders that fill the same workers, as each takes them for free.
 */
class DomainExclusivityTest {

  private static final long MICROS_PER_MILLI = 1_000;
  private static final long RUN_MICROS = 1_300 * MICROS_PER_MILLI;
  private static final ElectionTimeouts TIMEOUTS =
      new ElectionTimeouts(
          450 * MICROS_PER_MILLI,
          600 * MICROS_PER_MILLI,
          400 * MICROS_PER_MILLI,
          200 * MICROS_PER_MILLI,
          30 * MICROS_PER_MILLI);

  private final DomainExclusivity exclusivity =
      new DomainExclusivity("leader", TIMEOUTS, RUN_MICROS);
  private long now = 50_000 * MICROS_PER_MILLI;

  private void listHosts(String... hosts) {
    Map<String, String> domains = new HashMap<>();
    for (String host : hosts) {
      domains.put(host, host.substring(0, host.indexOf('-')));
    }
    domains.put("leader", "own");
    exclusivity.hostsListed(now, domains);
  }

  /** Lets hosts confirm a heartbeat each 100 ms. */
  private void confirmFor(long millis, String... hosts) {
    for (long passed = 0; passed < millis; passed += 100) {
      now += 100 * MICROS_PER_MILLI;
      for (String host : hosts) {
        exclusivity.heartbeatConfirmed(now, host, now);
      }
    }
  }

  @Test
  void domainIsSharedUntilOrdersOfAnotherLeaderAreOver() {
    listHosts("east-1", "east-2");
    assertThat(exclusivity.sharedDomains(now)).containsExactly("east");
    confirmFor(1_900, "east-1", "east-2");
    assertThat(exclusivity.sharedDomains(now)).containsExactly("east");
    confirmFor(100, "east-1", "east-2");
    assertThat(exclusivity.sharedDomains(now)).isEmpty();
  }

  @Test
  void domainIsSharedOnceItsHostsFallSilentForLessThanAnElectionTakes() {
    listHosts("east-1", "east-2", "east-3");
    confirmFor(2_500, "east-1", "east-2", "east-3");
    now += 400 * MICROS_PER_MILLI;
    assertThat(exclusivity.sharedDomains(now)).isEmpty();
    now += MICROS_PER_MILLI;
    assertThat(exclusivity.sharedDomains(now)).containsExactly("east");
  }

  @Test
  void silenceBetweenTwoConfirmationsCounts() {
    listHosts("east-1", "east-2");
    confirmFor(2_500, "east-1", "east-2");
    now += 500 * MICROS_PER_MILLI;
    exclusivity.heartbeatConfirmed(now, "east-1", now);
    assertThat(exclusivity.sharedDomains(now)).containsExactly("east");
  }

  /** Such hosts can't elect a leader, as that takes more than half of them. */
  @Test
  void halfOfTheHostsExcludeAnotherLeader() {
    listHosts("east-1", "east-2", "east-3");
    confirmFor(2_500, "east-1", "east-2");
    assertThat(exclusivity.sharedDomains(now)).isEmpty();
    confirmFor(500, "east-1");
    assertThat(exclusivity.sharedDomains(now)).containsExactly("east");
  }

  /** The registrations of hosts that are cut off from the store lapse while they have a leader. */
  @Test
  void hostsThatAreNoLongerListedCountWhileTheyMayHaveLeader() {
    listHosts("east-1", "east-2");
    confirmFor(2_500, "east-1", "east-2");
    now += 500 * MICROS_PER_MILLI;
    listHosts();
    assertThat(exclusivity.sharedDomains(now)).containsExactly("east");
  }

  @Test
  void hostThatLeftDoesNotCountOnceTheOthersConfirm() {
    listHosts("east-1", "east-2", "east-3");
    confirmFor(2_500, "east-1", "east-2", "east-3");
    listHosts("east-1", "east-2");
    confirmFor(1_000, "east-1");
    assertThat(exclusivity.sharedDomains(now)).isEmpty();
  }

  @Test
  void singleHostsAndOwnHostExcludeAnotherLeader() {
    listHosts("east-1", "own-2");
    now += 5_000 * MICROS_PER_MILLI;
    assertThat(exclusivity.sharedDomains(now)).isEmpty();
  }
}
