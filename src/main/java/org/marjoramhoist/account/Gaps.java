package org.marjoramhoist.account;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Finds what is missing from stored accounts: batches that were skipped, and incarnations that
 * ended without a last batch.
 *
 * <p>Confined to one thread.
 */
final class Gaps {

  private static final class Incarnation {
    private long next = 1;
    private boolean closed;
  }

  private final Map<String, Incarnation> incarnations = new TreeMap<>();
  private final List<String> found = new ArrayList<>();

  /**
   * Takes in a batch, in the order of the keys.
   *
   * @param key {@code host/boot/number}
   */
  void seen(String key, AccountBatch batch) {
    String name = key.substring(0, key.lastIndexOf('/'));
    Incarnation incarnation = incarnations.computeIfAbsent(name, n -> new Incarnation());
    if (batch.seq() > incarnation.next) {
      found.add(
          "host "
              + name
              + ": batches "
              + incarnation.next
              + " to "
              + (batch.seq() - 1)
              + " are missing");
    }
    incarnation.next = batch.seq() + 1;
    incarnation.closed = batch.last();
  }

  void unreadable(String key) {
    found.add("batch " + key + " can't be read");
  }

  List<String> found(List<String> alive) {
    List<String> all = new ArrayList<>(found);
    incarnations.forEach(
        (name, incarnation) -> {
          if (!incarnation.closed && !alive.contains(name)) {
            all.add(
                "host "
                    + name
                    + " ended without closing its accounts after batch "
                    + (incarnation.next - 1)
                    + "; runs of its last seconds may be missing");
          }
        });
    return all;
  }
}
