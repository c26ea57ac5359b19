package org.marjoramhoist.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.marjoramhoist.dispatch.DispatchAction.Log;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.TaskRef;
import org.marjoramhoist.log.LogEvent;

/**
 * The tasks whose start orders get no answer from workers that answer all else.
 *
 * <p>What such a task holds, or what is between this host and the workers, keeps the order from
 * being answered, on any worker. It is ordered again, as the cause may end, but ever more rarely.
 * Invariant: a task is paused only after several such orders in a row, and for no longer than the
 * maximum. Confined to one thread.
 */
final class UnansweredStarts {

  /** So many orders in a row may be lost with connections that have gone silent. */
  private static final int ORDERS_BEFORE_PAUSE = 5;

  private static final long MIN_PAUSE_MICROS = 50_000;

  /** A job with free workers must not wait for long once the cause has ended. */
  private static final long MAX_PAUSE_MICROS = 1_000_000;

  /** How many orders in a row of each task were left unanswered. */
  private final Map<TaskRef, Integer> orders = new HashMap<>();

  /** Records that a run is over without a result, and pauses its task if that repeats. */
  void runLost(Run run, LossCause cause, long now, List<DispatchAction> out) {
    if (!run.isLeftUnanswered(cause)) {
      return;
    }
    int count = orders.merge(run.ref.task(), 1, Integer::sum);
    if (count < ORDERS_BEFORE_PAUSE) {
      return;
    }
    long pauseMicros = pauseMicros(count);
    run.task.pauseUntil(now + pauseMicros);
    if (isLogged(count)) {
      out.add(
          new Log(
              LogEvent.TASK_UNANSWERED,
              RunController.describe(run)
                  + " orders="
                  + count
                  + " pauseMicros="
                  + pauseMicros
                  + " "
                  + RunController.describe(run.unanswered)));
    }
  }

  /** Returns how long a task is paused: twice as long after each order, up to the maximum. */
  private static long pauseMicros(int count) {
    long pause = MIN_PAUSE_MICROS;
    for (int i = ORDERS_BEFORE_PAUSE; i < count && pause < MAX_PAUSE_MICROS; i++) {
      pause *= 2;
    }
    return Math.min(pause, MAX_PAUSE_MICROS);
  }

  /** Tells whether the number of orders has doubled since it was last logged. */
  private static boolean isLogged(int count) {
    return count % ORDERS_BEFORE_PAUSE == 0 && Integer.bitCount(count / ORDERS_BEFORE_PAUSE) == 1;
  }

  /** Records that a worker has answered an order to start a task. */
  void answered(TaskRef task) {
    orders.remove(task);
  }

  /** Returns the number of tasks that are ordered more rarely. */
  int count() {
    return (int) orders.values().stream().filter(each -> each >= ORDERS_BEFORE_PAUSE).count();
  }

  /** Removes the tasks of jobs that are not open. */
  void prune(Predicate<JobId> isOpen) {
    orders.keySet().removeIf(task -> !isOpen.test(task.job()));
  }
}
