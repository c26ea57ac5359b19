package org.marjoramhoist.supervise;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.marjoramhoist.log.Faults;

/**
 * Makes timers whose thread keeps no process alive.
 *
 * <p>A task that fails is logged, and is still repeated if it is to be. Stateless and safe for use
 * by several threads.
 */
public final class DaemonTimer {

  private DaemonTimer() {}

  /** Returns a timer with one thread of the given name. */
  public static ScheduledExecutorService create(String thread) {
    return new Timer(thread);
  }

  private static final class Timer extends ScheduledThreadPoolExecutor {
    private final String name;

    Timer(String name) {
      super(
          1,
          task -> {
            Thread made = new Thread(task, name);
            made.setDaemon(true);
            return made;
          });
      this.name = name;
    }

    private Runnable contained(Runnable task) {
      return () -> Faults.contain(name, task);
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
      return super.schedule(contained(task), delay, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(
        Runnable task, long initialDelay, long period, TimeUnit unit) {
      return super.scheduleAtFixedRate(contained(task), initialDelay, period, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(
        Runnable task, long initialDelay, long delay, TimeUnit unit) {
      return super.scheduleWithFixedDelay(contained(task), initialDelay, delay, unit);
    }
  }
}
