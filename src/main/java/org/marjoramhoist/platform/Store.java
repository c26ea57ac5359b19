package org.marjoramhoist.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's small key-value service.
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
   * @param modRevision the store revision of its last change
   */
  record Entry(String key, String value, long modRevision) {}

  /**
   * The keys of a range.
   *
   * @param revision the store revision as of which they were read
   * @param entries the keys in their order
   */
  record Range(long revision, List<Entry> entries) {}

  /** A condition of a transaction: the key's last change has this revision; 0 if it is absent. */
  record Condition(String key, long modRevision) {}

  /** One step of a transaction. */
  sealed interface Op {
    /** Sets a key; a lease of 0 means none. */
    record Put(String key, String value, long lease) implements Op {}

    /** Deletes the keys from one, to before another. */
    record Delete(String from, String to) implements Op {}

    /** Reads the keys from one, to before another. */
    record Read(String from, String to) implements Op {}
  }

  /**
   * What became of a transaction.
   *
   * @param committed whether the conditions held and the steps took effect
   * @param revision the store revision after it
   * @param reads the results of the reading steps, in their order
   */
  record TxnResult(boolean committed, long revision, List<Range> reads) {}

  /** One change of one key. */
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

  /** Hears of changes under a prefix. */
  interface WatchListener {
    /**
     * Takes the changes of one revision or of several together.
     *
     * @param revision the last revision that is covered
     * @param changes the changes, in the order in which the store made them
     */
    void changed(long revision, List<Change> changes);

    /** Takes in that the watch has ended; nothing more is heard. */
    void ended();
  }

  /** A watch that can be ended. */
  interface Watch extends AutoCloseable {
    @Override
    void close();
  }

  /** Reads the keys from one, to before another. */
  CompletableFuture<Range> range(String from, String to);

  /** Runs steps if all conditions hold, as one change. */
  CompletableFuture<TxnResult> txn(List<Condition> conditions, List<Op> steps);

  /** Grants a lease of so many seconds. */
  CompletableFuture<Long> grantLease(long ttlSeconds);

  /** Renews a lease; yields whether it was still held. */
  CompletableFuture<Boolean> keepAlive(long lease);

  /** Watches the keys that start with a prefix, from a revision on. */
  Watch watch(String prefix, long fromRevision, WatchListener listener);

  @Override
  void close();

  /** Returns the end of the range of keys that start with a prefix. */
  static String prefixRangeEnd(String prefix) {
    int last = prefix.length() - 1;
    return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
  }
}
