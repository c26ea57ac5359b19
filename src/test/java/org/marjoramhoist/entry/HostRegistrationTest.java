package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.lead.HostCapacity;
import org.marjoramhoist.platform.KeyValueClient.Change;
import org.marjoramhoist.platform.KeyValueClient.Item;

/**
 * Restoring a deleted registration. A new lease for the registration would let the leader record
 * expire with the first lease.
 */
class HostRegistrationTest extends StoreFixture {

  private static final String HOST = "marjoramhoist/hosts/a";
  private static final long TIMEOUT_MILLIS = 5_000;
  private static final long SETTLE_MILLIS = 300;

  private HostRegistration registration;

  @BeforeEach
  void register() throws InterruptedException {
    HostCapacity capacity = HostCapacity.of(1, 1_000);
    registration =
        new HostRegistration(
            client, loop, new StoreHealth(), "a", 7, "127.0.0.1:1", "north", capacity, event -> {});
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

  @Test
  void lateDeletionOfEarlierRegistrationIsIgnored() throws InterruptedException {
    loop.execute(() -> registration.changed(new Change(new Item(HOST, null, 1))));
    Thread.sleep(SETTLE_MILLIS);
    assertThat(store.leasesGranted()).isEqualTo(1);
    assertThat(isRegistered()).isTrue();
  }
}
