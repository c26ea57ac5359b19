package org.marjoramhoist.experiment;

import java.util.Optional;
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
    boolean[] ended = new boolean[1];
    Consumer<Optional<T>> once =
        answer -> {
          if (!ended[0]) {
            ended[0] = true;
            end.accept(answer);
          }
        };
    time.after(timeout, () -> once.accept(Optional.empty()));
    if (target == null || target.cutOff) {
      return;
    }
    boolean late = random.nextDouble() < lateOrders;
    deliver(
        target,
        worker ->
            order.carryOut(worker, answer -> pass(worker, () -> once.accept(Optional.of(answer)))),
        late ? random.nextLong(SHORTEST_DELAY, LONGEST_DELAY) : way());
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
    if (!from.cutOff && random.nextDouble() >= lostAnswers) {
      time.after(way(), answer);
    }
  }
}
