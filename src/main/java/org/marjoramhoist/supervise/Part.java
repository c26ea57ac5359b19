package org.marjoramhoist.supervise;

import java.util.concurrent.CompletableFuture;

/** A running part of the process; safe for use by several threads. */
public interface Part extends AutoCloseable {

  /** Returns a future that completes, or fails, if the part ends by itself. */
  CompletableFuture<Void> ended();

  /** Stops the part; does nothing if it is stopped. */
  @Override
  void close();

  /** Returns a part that never ends by itself. */
  static Part of(Runnable close) {
    return of(new CompletableFuture<>(), close);
  }

  /** Returns a part with the given end. */
  static Part of(CompletableFuture<Void> ended, Runnable close) {
    return new Part() {
      @Override
      public CompletableFuture<Void> ended() {
        return ended;
      }

      @Override
      public void close() {
        close.run();
      }
    };
  }
}
