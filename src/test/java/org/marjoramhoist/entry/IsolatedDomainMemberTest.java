package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.DispatchPolicy;
import org.marjoramhoist.lead.DomainElection;
import org.marjoramhoist.lead.Election;
import org.marjoramhoist.lead.ElectionTimeouts;
import org.marjoramhoist.lead.HostCapacity;

/** The only host of a failure domain that is cut off. */
class IsolatedDomainMemberTest extends StoreFixture {

  private static final long SUSPENDED_MILLIS = 5_000;
  private static final ElectionTimeouts TIMES =
      new ElectionTimeouts(450_000, 600_000, 400_000, 200_000, 30_000);

  private final AtomicLong wallMillis = new AtomicLong(1_000_000);
  private final LeaderTracker reach = new LeaderTracker();
  private final DrainedDomains drained = new DrainedDomains();
  private IsolatedDomainMember domain;

  private IsolatedDomainMember create() {
    HostCapacity capacity = HostCapacity.of(1, 1_000);
    HostRegistration link =
        new HostRegistration(
            client, loop, new StoreHealth(), "a", 7, "127.0.0.1:1", "north", capacity, e -> {});
    return new IsolatedDomainMember(
        "a",
        loop,
        new DomainElection("a", TIMES, 0),
        new DomainStateTransfer(new Election("a", 7, TIMES, 0), link, new ConfigWatch()),
        link,
        reach,
        new OpenJobs(reach),
        drained,
        new SuspensionDetector(wallMillis::get, () -> 0),
        handedOver ->
            new DomainLeadership(
                5,
                new DispatchPolicy(980, 1.5, 250, 120_000).forDomain(),
                List.of(),
                drained,
                loop,
                null,
                new NodeMetrics(),
                new Leadership.Permissions(() -> false, () -> false),
                (host, answer) -> {},
                reason -> {}));
  }

  private boolean onLoop(BooleanSupplier question) throws InterruptedException {
    AtomicBoolean answer = new AtomicBoolean();
    CountDownLatch asked = new CountDownLatch(1);
    loop.execute(
        () -> {
          answer.set(question.getAsBoolean());
          asked.countDown();
        });
    assertThat(asked.await(5, TimeUnit.SECONDS)).isTrue();
    return answer.get();
  }

  private void lead() throws InterruptedException {
    onLoop(
        () -> {
          domain.domainIsolated();
          return true;
        });
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    while (!onLoop(() -> reach.domainLeader() != null)) {
      assertThat(System.nanoTime()).isLessThan(deadline);
      Thread.sleep(10);
    }
  }

  @Test
  void hostThatWasSuspendedBeforeItLedMayOrder() throws Exception {
    domain = create();
    wallMillis.addAndGet(SUSPENDED_MILLIS);
    domain.start(null);
    lead();
    assertThat(onLoop(() -> domain.mayOrder())).isTrue();
  }

  @Test
  void hostThatIsSuspendedWhileItLeadsStepsDown() throws Exception {
    domain = create();
    domain.start(null);
    lead();
    wallMillis.addAndGet(SUSPENDED_MILLIS);
    assertThat(onLoop(() -> domain.mayOrder())).isFalse();
    assertThat(onLoop(() -> reach.domainLeader() == null)).isTrue();
  }
}
