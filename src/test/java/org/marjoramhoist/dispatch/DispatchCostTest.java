package org.marjoramhoist.dispatch;

import static com.google.common.truth.Truth.assertThat;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobId;

/**
 * The cost of starting one task while many jobs wait. If it grew with the number of waiting jobs, a
 * leader with enough of them would start less than arrives and never recover.
 *
 * <p>The test measures allocated bytes, which do not depend on the load of the machine.
 */
class DispatchCostTest extends DispatcherFixture {

  private static final int WARM_UP = 200;
  private static final int STARTS = 500;

  private final ThreadMXBean thread = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  private void submit(int jobs) {
    for (int i = 0; i < jobs; i++) {
      JobId id = new JobId(String.format(Locale.ROOT, "%016x", i + 1));
      JobDescription job = new JobDescription(id, "p", List.of(tasks(4, List.of())), Set.of());
      step(
          0,
          new DispatchEvent.JobSubmitted(
              job, REQUEST_CLASS, "e", now, now + 9_000 * MICROS_PER_MILLI, 0));
    }
  }

  /** Confirms a start order, so that another one is sent. */
  private void answerOne() {
    DispatchAction.Start order =
        (DispatchAction.Start)
            actions.stream().filter(DispatchAction.Start.class::isInstance).findFirst().get();
    actions.remove(order);
    confirmStart("w", order.run());
  }

  private long allocatedBytesPerStart(int jobs) {
    actions.clear();
    beginTerm(now);
    listWorkers(worker("w", 100_000_000, false));
    report("w", List.of());
    submit(jobs);
    for (int i = 0; i < WARM_UP; i++) {
      answerOne();
    }
    long before = thread.getCurrentThreadAllocatedBytes();
    for (int i = 0; i < STARTS; i++) {
      answerOne();
    }
    return (thread.getCurrentThreadAllocatedBytes() - before) / STARTS;
  }

  @Test
  void costOfStartDoesNotGrowWithTheNumberOfWaitingJobs() {
    long few = allocatedBytesPerStart(200);
    long many = allocatedBytesPerStart(2_000);
    assertThat(many).isLessThan(2 * few);
  }
}
