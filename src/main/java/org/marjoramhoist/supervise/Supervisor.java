package org.marjoramhoist.supervise;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.Faults;
import org.marjoramhoist.log.LogEvent;

/**
 * Starts parts in order, starts a failed one again within its policy, and stops them in reverse.
 *
 * <p>A part that fails too often makes the whole supervisor give up; its owner then stops the
 * process. Safe for use by several threads.
 */
public final class Supervisor implements AutoCloseable {

  /** Starts a part. */
  public interface Starter {
    /** Returns the running part. */
    Part start() throws Exception;
  }

  private static final class Child {
    private final String name;
    private final RestartPolicy policy;
    private final Starter starter;
    private final Deque<Long> restarts = new ArrayDeque<>();
    private Part part;

    Child(String name, RestartPolicy policy, Starter starter) {
      this.name = name;
      this.policy = policy;
      this.starter = starter;
    }
  }

  private final String name;
  private final List<Child> children = new ArrayList<>();
  private final CompletableFuture<String> gaveUp = new CompletableFuture<>();
  private boolean stopping;

  /** Creates a supervisor without parts. */
  public Supervisor(String name) {
    this.name = name;
  }

  /**
   * Starts a part and watches it from now on.
   *
   * @throws Exception if the part can't be started at all
   */
  public synchronized void add(String child, RestartPolicy policy, Starter starter)
      throws Exception {
    Child made = new Child(child, policy, starter);
    children.add(made);
    start(made);
  }

  private void start(Child child) throws Exception {
    Part part = child.starter.start();
    child.part = part;
    part.ended()
        .whenComplete(
            (nothing, error) -> CompletableFuture.runAsync(() -> restart(child, part, error)));
  }

  private synchronized void restart(Child child, Part ended, Throwable error) {
    if (stopping || child.part != ended) {
      return;
    }
    ended.close();
    long now = System.nanoTime();
    child.restarts.addLast(now);
    while (now - child.restarts.peekFirst() > child.policy.window().toNanos()) {
      child.restarts.removeFirst();
    }
    if (child.restarts.size() > child.policy.maxRestarts()) {
      giveUp(child, error);
      return;
    }
    EventLog.warn(LogEvent.PART_RESTARTED, "part={}/{} cause={}", name, child.name, error);
    try {
      start(child);
    } catch (Throwable e) {
      giveUp(child, e);
      Faults.report("start of part " + child.name, e);
    }
  }

  private void giveUp(Child child, Throwable error) {
    EventLog.warn(LogEvent.PART_GAVE_UP, "part={}/{} cause={}", name, child.name, error);
    gaveUp.complete(child.name);
  }

  /** Returns a future that completes with the name of a part that has failed too often. */
  public CompletableFuture<String> gaveUp() {
    return gaveUp;
  }

  /** Returns how many restarts there were within their windows. */
  public synchronized int restartCount() {
    return children.stream().mapToInt(child -> child.restarts.size()).sum();
  }

  /** Stops the parts in the reverse order of their start. */
  @Override
  public void close() {
    List<Part> parts = new ArrayList<>();
    synchronized (this) {
      if (stopping) {
        return;
      }
      stopping = true;
      children.forEach(child -> parts.add(0, child.part));
    }
    for (Part part : parts) {
      if (part != null) {
        Faults.contain("stop of a part", part::close);
      }
    }
  }
}
