package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.lead.ElectionEvent;
import org.marjoramhoist.lead.HostCapacity;
import org.marjoramhoist.lead.LeaderRecord;
import org.marjoramhoist.platform.KeyValueClient.Change;
import org.marjoramhoist.platform.KeyValueClient.Item;

/**
 * Restoring a deleted registration. A new lease for the registration would let the leader record
 * expire with the first lease.
 */
class HostRegistrationTest extends StoreFixture {

  private static final String HOST = "marjoramhoist/hosts/a";
  private static final String ODD_HOST = "marjoramhoist/hosts/odd";
  private static final Map<String, Object> GOOD_HOST =
      Map.of("address", "127.0.0.1:3", "failureDomain", "d", "startsPerSecond", 100);
  private static final long TIMEOUT_MILLIS = 5_000;
  private static final long SETTLE_MILLIS = 300;

  private HostRegistration registration;

  private final List<ElectionEvent> events = new CopyOnWriteArrayList<>();

  private HostRegistration create() {
    HostCapacity capacity = HostCapacity.of(1, 1_000);
    return new HostRegistration(
        client, loop, new StoreHealth(), "a", 7, "127.0.0.1:1", "north", capacity, events::add);
  }

  @BeforeEach
  void register() throws InterruptedException {
    registration = create();
    loop.execute(registration::start);
    await(this::isRegistered);
  }

  private boolean isRegistered() {
    return store.keys(HOST).contains(HOST);
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).isLessThan(deadline);
      Thread.sleep(10);
    }
  }

  @Test
  void deletedRegistrationIsRestoredUnderTheSameLease() throws InterruptedException {
    store.delete(HOST);
    await(this::isRegistered);
    assertThat(store.leasesGranted()).isEqualTo(1);
  }

  /** A host that has just started must not lose time before it can lead. */
  @Test
  void recordIsAcquiredAsSoonAsTheLeaseIsGranted() throws InterruptedException {
    HostRegistration starting = create();
    loop.execute(
        () -> {
          starting.acquireLeaderRecord(0);
          starting.start();
        });
    await(() -> events.stream().anyMatch(ElectionEvent.RecordAcquired.class::isInstance));
    assertThat(events.stream().noneMatch(ElectionEvent.AcquireFailed.class::isInstance)).isTrue();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "null",
        "7",
        "[]",
        "{",
        "{}",
        "{\"address\":\"\"}",
        "{\"address\":\"127.0.0.1\"}",
        "{\"address\":\"127.0.0.1:0\"}",
        "{\"address\":\"127.0.0.1:99999\"}",
        "{\"address\":\"999.1.1.1:80\"}",
        "{\"address\":\"odd.example:80\"}",
        "{\"address\":7}",
        "{\"address\":\"127.0.0.1:2\",\"failureDomain\":{}}",
        "{\"address\":\"127.0.0.1:2\",\"failureDomain\":\"d\",\"startsPerSecond\":1e400}",
        "{\"address\":\"127.0.0.1:2\",\"failureDomain\":\"d\",\"startsPerSecond\":-1}"
      })
  void oddRegistrationNamesNoHost(String value) throws InterruptedException {
    store.put(ODD_HOST, value);
    store.put("marjoramhoist/hosts/z", JsonText.of(GOOD_HOST));
    await(() -> listedHosts().contains("z"));
    assertThat(listedHosts()).containsExactly("a", "z");
    assertThat(reachable().keySet()).containsExactly("a", "z");
    store.put(ODD_HOST, JsonText.of(GOOD_HOST));
    await(() -> listedHosts().contains("odd"));
  }

  @Test
  void registrationOfHostWithoutDomainAndCapacityNamesHost() throws InterruptedException {
    store.put(ODD_HOST, "{\"address\":\"[::1]:7\",\"failureDomain\":\"\"}");
    await(() -> listedHosts().contains("odd"));
    assertThat(reachable()).containsEntry("odd", "[::1]:7");
  }

  /** A registration that turns odd says nothing, as if it had been removed. */
  @Test
  void registrationThatTurnsOddIsRemoved() throws InterruptedException {
    store.put(ODD_HOST, JsonText.of(GOOD_HOST));
    await(() -> listedHosts().contains("odd"));
    store.put(ODD_HOST, "{}");
    await(() -> !listedHosts().contains("odd"));
    assertThat(reachable()).containsEntry("odd", "127.0.0.1:3");
  }

  private Set<String> listedHosts() {
    Set<String> hosts = Set.of();
    for (ElectionEvent event : events) {
      if (event instanceof ElectionEvent.HostsListed listed) {
        hosts = listed.hosts().keySet();
      }
    }
    return hosts;
  }

  private Map<String, String> reachable() {
    CompletableFuture<Map<String, String>> found = new CompletableFuture<>();
    loop.execute(() -> found.complete(Map.copyOf(registration.reachable())));
    return found.join();
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "null", "7", "[]", "{", "{}", "{\"host\":{},\"incarnation\":1e400}"})
  void oddLeaderRecordNamesNoHost(String value) throws InterruptedException {
    store.put(HostRegistration.LEADER, value);
    await(() -> lastRecord() != null);
    assertThat(lastRecord()).isEqualTo(new LeaderRecord("", 0));
    store.put(HostRegistration.LEADER, "{\"host\":\"b\",\"incarnation\":5}");
    await(() -> lastRecord().equals(new LeaderRecord("b", 5)));
  }

  private LeaderRecord lastRecord() {
    LeaderRecord record = null;
    for (ElectionEvent event : events) {
      if (event instanceof ElectionEvent.RecordRead read) {
        record = read.record();
      }
    }
    return record;
  }

  @Test
  void lateDeletionOfEarlierRegistrationIsIgnored() throws InterruptedException {
    loop.execute(() -> registration.changed(new Change(new Item(HOST, null, 1))));
    Thread.sleep(SETTLE_MILLIS);
    assertThat(store.leasesGranted()).isEqualTo(1);
    assertThat(isRegistered()).isTrue();
  }
}
