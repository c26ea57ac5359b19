package org.marjoramhoist.dispatch;

/**
 * A completion that must not be acknowledged to the worker until it is stored.
 *
 * <p>Confined to one thread.
 *
 * @param worker the worker that reported it
 * @param bornMillis the incarnation of the worker
 * @param sequence the sequence number of the completion in that incarnation
 */
record CompletionHold(Worker worker, long bornMillis, long sequence) {

  /** Allows the completion to be acknowledged, if the worker has not restarted since. */
  void release() {
    worker.releaseCompletion(bornMillis, sequence);
  }
}
