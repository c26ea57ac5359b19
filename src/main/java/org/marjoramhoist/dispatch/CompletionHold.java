package org.marjoramhoist.dispatch;

/**
 * The end of a run that a worker must keep until it is stored.
 *
 * <p>Confined to one thread.
 *
 * @param worker the worker that lists it
 * @param bornMillis the life of the worker that lists it
 * @param sequence the number of the end in that life
 */
record CompletionHold(Worker worker, long bornMillis, long sequence) {

  /** Lets the worker forget the end, if it still is in the same life. */
  void release() {
    worker.releaseCompletion(bornMillis, sequence);
  }
}
