package org.marjoramhoist.experiment;

import static com.google.common.truth.Truth.assertThat;
import static org.marjoramhoist.experiment.Fleets.MILLI;
import static org.marjoramhoist.experiment.Fleets.SECOND;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.decision.Action;
import org.marjoramhoist.decision.Actions;
import org.marjoramhoist.decision.Configuration;
import org.marjoramhoist.message.PeerMessage.ConfigUpdate;
import org.marjoramhoist.model.TeamId;
import org.marjoramhoist.resource.ResourceDoc;

/** The way of the configuration to every host, and that it never goes back. */
class ConfigurationTest {

  private static final FleetPlan PLAN = Fleets.plan(3, 3, 1);

  private final VirtualFleet fleet = Fleets.ready(PLAN, 5);

  private long declare() {
    fleet.declare(Declared.of(PLAN));
    return fleet.now();
  }

  /** Returns the latest revision in force at each host name. */
  private Map<String, Long> inForce() {
    Map<String, Long> latest = new HashMap<>();
    for (History.ConfigInForce config : fleet.history().configs()) {
      latest.put(config.host().substring(0, config.host().indexOf('/')), config.revision());
    }
    return latest;
  }

  private void assertSameEverywhere() {
    assertThat(inForce()).hasSize(fleet.hostCount());
    assertThat(inForce().values().stream().distinct().count()).isEqualTo(1);
    assertThat(Invariants.breaches(fleet.history())).isEmpty();
  }

  @Test
  void isInForceEverywhereWithinTarget() {
    long time = declare();
    fleet.runUntil(time + 12 * SECOND);
    assertSameEverywhere();
    long last =
        fleet.history().configs().stream().mapToLong(History.ConfigInForce::time).max().orElse(0);
    assertThat(last - time).isAtMost(12 * SECOND);
  }

  @Test
  void reachesAllThroughPeersWhenStoreGoesDownAfterAcceptance() {
    final long before = inForce().get("d0-h0");
    declare();
    fleet.runUntil(fleet.now() + 10 * MILLI);
    fleet.setStoreDown(true);
    fleet.runUntil(fleet.now() + 12 * SECOND);
    assertSameEverywhere();
    assertThat(inForce().get("d0-h0")).isGreaterThan(before);
  }

  @Test
  void reachesHostThatStartsInStoreOutage() {
    fleet.setStoreDown(true);
    fleet.kill(0);
    fleet.runUntil(fleet.now() + SECOND);
    fleet.restart(0);
    int before = fleet.history().configs().size();
    fleet.runUntil(fleet.now() + 12 * SECOND);
    assertThat(fleet.history().configs().size()).isGreaterThan(before);
    assertSameEverywhere();
  }

  @Test
  void catchesUpAfterDomainWasCutOff() {
    fleet.isolate("d1", true);
    declare();
    fleet.runUntil(fleet.now() + 3 * SECOND);
    assertThat(inForce().get("d1-h0")).isLessThan(inForce().get("d0-h0"));
    fleet.isolate("d1", false);
    fleet.runUntil(fleet.now() + 12 * SECOND);
    assertSameEverywhere();
  }

  private static ResourceDoc team(String name, long version, int quota) {
    return new ResourceDoc("team/" + name, version, "{\"quotaTasks\": " + quota + "}");
  }

  @Test
  void refusesOlderRevisionWhateverItsSource() {
    Configuration config = new Configuration();
    Actions out = new Actions();
    assertThat(config.apply(-1, 10, List.of(team("a", 10, 5)), List.of(), out)).isTrue();
    assertThat(config.apply(-1, 9, List.of(team("a", 9, 4)), List.of(), out)).isFalse();
    assertThat(config.apply(8, 9, List.of(team("a", 9, 4)), List.of(), out)).isFalse();
    assertThat(config.apply(12, 13, List.of(team("a", 13, 6)), List.of(), out)).isFalse();
    assertThat(config.team(new TeamId("a")).quotaTasks()).isEqualTo(5);
    assertThat(out.take().stream().filter(a -> a instanceof Action.ConfigInForce)).hasSize(1);
  }

  @Test
  void passesOnOnlyWhatHasChangedSince() {
    Configuration config = new Configuration();
    Actions out = new Actions();
    config.apply(-1, 10, List.of(team("a", 10, 5), team("b", 10, 5)), List.of(), out);
    config.apply(10, 11, List.of(team("c", 11, 7)), List.of(), out);
    config.apply(11, 12, List.of(), List.of("team/a"), out);
    ConfigUpdate update = config.since(10);
    assertThat(update.baseRevision()).isEqualTo(10);
    assertThat(update.changed()).containsExactly(team("c", 11, 7));
    assertThat(update.deleted()).containsExactly("team/a");
    assertThat(config.since(3).baseRevision()).isEqualTo(-1);
    assertThat(config.since(3).changed()).hasSize(2);
  }
}
