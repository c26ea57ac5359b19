package org.marjoramhoist.host;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.marjoramhoist.decision.Action;
import org.marjoramhoist.decision.Event;
import org.marjoramhoist.decision.HostCore;
import org.marjoramhoist.log.Faults;

/**
 * Feeds events to the decisions on one thread, in the order of their arrival.
 *
 * <p>Events may be published from any thread. An event that the loop's own thread publishes is
 * handled right after the present one, so the loop never waits for itself.
 */
final class CoreLoop implements AutoCloseable {

  private static final int RING_SIZE = 1 << 16;
  private static final long STOP_TIMEOUT_SECONDS = 5;

  /** Carries out actions; called on the loop's thread and must not block. */
  interface Runner {
    void run(List<Action> actions);
  }

  private static final class Slot {
    private Event event;
  }

  private final HostCore core;
  private final LongSupplier clock;
  private final Runner runner;
  private final Disruptor<Slot> disruptor;
  private final Deque<Event> own = new ArrayDeque<>();
  private volatile Thread thread;
  private volatile boolean active;
  private long lastTime;

  /**
   * Creates a loop that is not started.
   *
   * @param core the decisions; from now on used by the loop alone
   * @param clock the time, in microseconds since the epoch
   * @param runner carries out the actions
   */
  CoreLoop(HostCore core, LongSupplier clock, Runner runner) {
    this.core = core;
    this.clock = clock;
    this.runner = runner;
    this.disruptor =
        new Disruptor<>(
            Slot::new,
            RING_SIZE,
            task -> {
              Thread made = new Thread(task, "core-loop");
              made.setDaemon(true);
              return made;
            },
            ProducerType.MULTI,
            new BlockingWaitStrategy());
    disruptor.setDefaultExceptionHandler(new FaultHandler());
    disruptor.handleEventsWith((EventHandler<Slot>) this::handle);
  }

  void start() {
    disruptor.start();
  }

  /** Publishes an event, and waits for room if the ring is full. */
  void publish(Event event) {
    if (!(event instanceof Event.Tick) && !(event instanceof Event.Received)) {
      active = true;
    }
    if (Thread.currentThread() == thread) {
      own.add(event);
      return;
    }
    disruptor.publishEvent((slot, sequence) -> slot.event = event);
  }

  /** Tells whether callers, workers or the store were heard since this was last asked. */
  boolean wasActive() {
    boolean was = active;
    active = false;
    return was;
  }

  /** Publishes an event unless the ring is nearly full. */
  boolean tryPublish(Event event) {
    if (!disruptor.getRingBuffer().hasAvailableCapacity(RING_SIZE / 4)) {
      return false;
    }
    publish(event);
    return true;
  }

  private void handle(Slot slot, long sequence, boolean endOfBatch) {
    thread = Thread.currentThread();
    Event event = slot.event;
    slot.event = null;
    step(event);
    while (!own.isEmpty()) {
      step(own.poll());
    }
  }

  private void step(Event event) {
    lastTime = Math.max(lastTime, clock.getAsLong());
    runner.run(core.step(lastTime, event));
  }

  @Override
  public void close() {
    try {
      disruptor.shutdown(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (TimeoutException e) {
      disruptor.halt();
    }
  }

  /** A fault in one event is logged; the loop goes on with the next. */
  private static final class FaultHandler implements ExceptionHandler<Slot> {
    @Override
    public void handleEventException(Throwable error, long sequence, Slot slot) {
      Faults.report("core loop", error);
    }

    @Override
    public void handleOnStartException(Throwable error) {
      Faults.report("core loop start", error);
    }

    @Override
    public void handleOnShutdownException(Throwable error) {
      Faults.report("core loop stop", error);
    }
  }
}
