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
 * What it costs to start one more task while many jobs wait. A leader whose cost a start grows with
 * the jobs that wait starts less than arrives, once enough of them wait, and never recovers.
 *
 * <p>The measure is what the decisions allocate, as that does not depend on how busy the machine
 * is.
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

  /** Answers an order to start, so that there is room for one other. */
  private void answerOne() {
    DispatchAction.Start order =
        (DispatchAction.Start)
            actions.stream().filter(DispatchAction.Start.class::isInstance).findFirst().get();
    actions.remove(order);
    confirmStart("w", order.run());
  }

  private long bytesOfStart(int jobs) {
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
  void startingOneTaskCostsNoMoreTheMoreJobsWait() {
    long few = bytesOfStart(200);
    long many = bytesOfStart(2_000);
    assertThat(many).isLessThan(2 * few);
  }
}
