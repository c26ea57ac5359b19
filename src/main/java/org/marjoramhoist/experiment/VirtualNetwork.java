package org.marjoramhoist.experiment;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * The way between leaders and workers in virtual time: it delays what is sent, and carries orders
 * out late or loses answers, as told.
 *
 * <p>Deterministic for a seed. Confined to one thread.
 */
final class VirtualNetwork {

  private static final long SHORTEST_WAY = 500;
  private static final long LONGEST_WAY = 1_500;
  private static final long SHORTEST_DELAY = 2_000_000;
  private static final long LONGEST_DELAY = 12_000_000;

  private final VirtualTime time;
  private final SplittableRandom random;
  private final Map<LeasedWorker, Set<PendingCall<?>>> pending = new HashMap<>();

  /** A call whose end its caller is told once. */
  private final class PendingCall<T> {
    private final LeasedWorker target;
    private final Consumer<Optional<T>> end;
    private boolean ended;

    private PendingCall(LeasedWorker target, Consumer<Optional<T>> end) {
      this.target = target;
      this.end = end;
      pending.computeIfAbsent(target, key -> new LinkedHashSet<>()).add(this);
    }

    private void end(Optional<T> answer) {
      if (!ended) {
        ended = true;
        pending.get(target).remove(this);
        end.accept(answer);
      }
    }
  }

  /** The share of the orders that go unanswered and are carried out seconds later. */
  double lateOrders;

  /** The share of the answers that get lost. */
  double lostAnswers;

  VirtualNetwork(VirtualTime time, long seed) {
    this.time = time;
    this.random = new SplittableRandom(seed);
  }

  /** Draws how long something is on its way, in microseconds. */
  long way() {
    return random.nextLong(SHORTEST_WAY, LONGEST_WAY);
  }

  /** An order that a worker carries out, passing its answer on once it has one. */
  interface Order<T> {
    void carryOut(LeasedWorker worker, Consumer<T> answer);
  }

  /**
   * Sends an order.
   *
   * @param target the worker; null if there is none
   * @param timeout how long the answer is waited for, in microseconds
   * @param end takes the answer, or that there was none in time; called once
   * @param otherwise called instead if there is no such process
   */
  <T> void call(
      LeasedWorker target,
      long timeout,
      Order<T> order,
      Consumer<Optional<T>> end,
      Consumer<LeasedWorker.Process> otherwise) {
    if (target != null && !target.cutOff && target.process != LeasedWorker.Process.RUNNING) {
      time.after(way(), () -> otherwise.accept(target.process));
      return;
    }
    if (target != null && target.refuses) {
      boolean breaks = target.hasStaleConnection;
      target.hasStaleConnection = false;
      time.after(
          way(),
          breaks
              ? () -> end.accept(Optional.empty())
              : () -> otherwise.accept(LeasedWorker.Process.ENDED));
      return;
    }
    PendingCall<T> call = new PendingCall<>(target, end);
    time.after(timeout, () -> call.end(Optional.empty()));
    if (target == null || target.cutOff) {
      return;
    }
    boolean late = random.nextDouble() < lateOrders;
    deliver(
        target,
        worker ->
            order.carryOut(worker, answer -> pass(worker, () -> call.end(Optional.of(answer)))),
        late ? random.nextLong(SHORTEST_DELAY, LONGEST_DELAY) : way());
  }

  /** Ends the calls that a worker has not answered, as its connections break. */
  void breakConnections(LeasedWorker worker) {
    if (!worker.cutOff) {
      List<PendingCall<?>> broken = List.copyOf(pending.getOrDefault(worker, Set.of()));
      time.after(way(), () -> broken.forEach(call -> call.end(Optional.empty())));
    }
  }

  /** Has an order carried out after a delay, unless the process that took it has ended by then. */
  private void deliver(LeasedWorker target, Consumer<LeasedWorker> order, long delay) {
    int life = target.life();
    time.after(
        delay,
        () -> {
          if (target.life() == life) {
            order.accept(target);
          }
        });
  }

  /** Passes an answer on, unless it is lost. */
  private void pass(LeasedWorker from, Runnable answer) {
    if (!from.cutOff && !from.refuses && random.nextDouble() >= lostAnswers) {
      time.after(way(), answer);
    }
  }
}
