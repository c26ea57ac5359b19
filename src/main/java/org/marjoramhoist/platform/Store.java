package org.marjoramhoist.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * A key-value store with transactions, leases and watches.
 *
 * <p>Futures fail with {@link StoreException}, which tells whether a change may have taken effect.
 * Safe for use by several threads.
 */
public interface Store extends AutoCloseable {

  /**
   * A stored key.
   *
   * @param key the key
   * @param value the value
   * @param modRevision the store revision at which the key was last modified
   */
  record Entry(String key, String value, long modRevision) {}

  /**
   * The result of reading a range of keys.
   *
   * @param revision the store revision at which the range was read
   * @param entries the entries in key order
   */
  record Range(long revision, List<Entry> entries) {}

  /**
   * A condition of a transaction.
   *
   * @param key the key
   * @param modRevision the store revision at which the key must have been last modified; 0 if the
   *     key must be absent
   */
  record Condition(String key, long modRevision) {}

  /** An operation of a transaction. */
  sealed interface Op {
    /** Sets a key; a lease of 0 means no lease. */
    record Put(String key, String value, long lease) implements Op {}

    /** Deletes the keys from {@code from}, inclusive, to {@code to}, exclusive. */
    record Delete(String from, String to) implements Op {}

    /** Reads the keys from {@code from}, inclusive, to {@code to}, exclusive. */
    record Read(String from, String to) implements Op {}
  }

  /**
   * The result of a transaction.
   *
   * @param committed whether the conditions held and the operations were applied
   * @param revision the store revision after the transaction
   * @param reads the results of the read operations, in order
   */
  record TxnResult(boolean committed, long revision, List<Range> reads) {}

  /** A change of a key. */
  sealed interface Change {
    /** Returns the key. */
    String key();

    /** The key was set. */
    record Put(Entry entry) implements Change {
      @Override
      public String key() {
        return entry.key();
      }
    }

    /** The key was deleted. */
    record Deletion(String key) implements Change {}
  }

  /** Receives the changes under a watched prefix. */
  interface WatchListener {
    /**
     * Handles the changes of one or more revisions.
     *
     * @param revision the last of these revisions
     * @param changes the changes, in the order in which the store applied them
     */
    void changed(long revision, List<Change> changes);

    /** Handles the end of a watch that was not closed; no changes follow. */
    void ended();
  }

  /** An active watch; closing it stops the notifications. */
  interface Watch extends AutoCloseable {
    @Override
    void close();
  }

  /** Reads the keys from {@code from}, inclusive, to {@code to}, exclusive. */
  CompletableFuture<Range> range(String from, String to);

  /** Applies operations atomically if all conditions hold. */
  CompletableFuture<TxnResult> txn(List<Condition> conditions, List<Op> operations);

  /** Grants a lease and returns its id. */
  CompletableFuture<Long> grantLease(long ttlSeconds);

  /** Renews a lease; returns false if it no longer exists. */
  CompletableFuture<Boolean> keepAlive(long lease);

  /** Watches the keys that start with a prefix, from a revision on, inclusive. */
  Watch watch(String prefix, long fromRevision, WatchListener listener);

  @Override
  void close();

  /** Returns the exclusive end of the range of keys that start with a non-empty prefix. */
  static String prefixRangeEnd(String prefix) {
    int last = prefix.length() - 1;
    return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
  }
}
