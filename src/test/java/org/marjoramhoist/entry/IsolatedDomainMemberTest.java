package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.DispatchPolicy;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.lead.DomainElection;
import org.marjoramhoist.lead.Election;
import org.marjoramhoist.lead.ElectionTimeouts;
import org.marjoramhoist.lead.HostCapacity;

/** The only host of an isolated failure domain. */
class IsolatedDomainMemberTest extends StoreFixture {

  private static final long SUSPENDED_MILLIS = 5_000;
  private static final ElectionTimeouts TIMEOUTS =
      new ElectionTimeouts(450_000, 600_000, 400_000, 200_000, 30_000);

  private static final WorkerInfo WORKER =
      new WorkerInfo(
          "w",
          "reviews",
          "127.0.0.1:1",
          "north",
          new Resources(4_000, 1_000, 0),
          "a",
          "r-1",
          Set.of("a", "r-1"),
          false,
          1);

  private final AtomicLong wallMillis = new AtomicLong(1_000_000);
  private final LeaderTracker leaders = new LeaderTracker();
  private final DrainedDomains drained = new DrainedDomains();
  private IsolatedDomainMember member;

  private IsolatedDomainMember create() {
    HostCapacity capacity = HostCapacity.of(1, 1_000);
    HostRegistration registration =
        new HostRegistration(
            client, loop, new StoreHealth(), "a", 7, "127.0.0.1:1", "north", capacity, e -> {});
    return new IsolatedDomainMember(
        "a",
        loop,
        new DomainElection("a", TIMEOUTS, 0),
        new DomainStateTransfer(new Election("a", 7, TIMEOUTS, 0), registration, new ConfigWatch()),
        registration,
        leaders,
        new OpenJobs(leaders),
        drained,
        new SuspensionDetector(wallMillis::get, () -> 0),
        1_300_000,
        handedOver ->
            new DomainLeadership(
                5,
                new DispatchPolicy(980, 1.5, 250, 120_000).forDomain(),
                List.of(),
                drained,
                loop,
                null,
                new NodeMetrics(),
                new Leadership.Permissions(() -> false, () -> false, Set::of),
                (host, answer) -> {},
                reason -> {}));
  }

  private boolean onLoop(BooleanSupplier condition) throws InterruptedException {
    AtomicBoolean result = new AtomicBoolean();
    CountDownLatch evaluated = new CountDownLatch(1);
    loop.execute(
        () -> {
          result.set(condition.getAsBoolean());
          evaluated.countDown();
        });
    assertThat(evaluated.await(5, TimeUnit.SECONDS)).isTrue();
    return result.get();
  }

  private void lead() throws InterruptedException {
    onLoop(
        () -> {
          member.setWorkers(List.of(WORKER));
          member.domainIsolated();
          return true;
        });
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    while (!onLoop(() -> leaders.domainLeader() != null)) {
      assertThat(System.nanoTime()).isLessThan(deadline);
      Thread.sleep(10);
    }
  }

  @Test
  void hostSuspendedBeforeItLeadsMayOrder() throws Exception {
    member = create();
    wallMillis.addAndGet(SUSPENDED_MILLIS);
    member.start(null);
    lead();
    assertThat(onLoop(() -> member.mayOrder())).isTrue();
  }

  @Test
  void hostThatKnowsNoWorkersDoesNotLead() throws Exception {
    member = create();
    member.start(null);
    onLoop(
        () -> {
          member.domainIsolated();
          return true;
        });
    Thread.sleep(200);
    assertThat(onLoop(() -> leaders.domainLeader() == null)).isTrue();
  }

  @Test
  void hostSuspendedWhileItLeadsStepsDown() throws Exception {
    member = create();
    member.start(null);
    lead();
    wallMillis.addAndGet(SUSPENDED_MILLIS);
    assertThat(onLoop(() -> member.mayOrder())).isFalse();
    assertThat(onLoop(() -> leaders.domainLeader() == null)).isTrue();
  }
}
