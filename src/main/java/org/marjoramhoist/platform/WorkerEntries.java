package org.marjoramhoist.platform;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.http.HostPort;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.json.CheckedObject;

/**
 * Parses the entries under which workers register in the platform's store. Other programs may write
 * there too.
 *
 * <p>Invariants of a worker that is returned: it can be called, sums over all workers stay within
 * the range of a long, and its entry in the roster stays within the limits of the store. Stateless
 * and safe for use by several threads.
 */
public final class WorkerEntries {

  /** The prefix of the entries. */
  public static final String PREFIX = "servers/";

  /** The store limits a key, of which the id is a part, to 200 bytes. */
  private static final int MAX_ID_CHARS = 128;

  /** The longest text of an entry. */
  public static final int MAX_TEXT_CHARS = 256;

  /** The most labels of a worker. */
  public static final int MAX_LABELS = 64;

  /**
   * The most of a resource, in thousandths of a core or in MiB: about a million cores, or 1 PiB.
   */
  public static final long MAX_AMOUNT = 1L << 30;

  /** Far in the future, in milliseconds since the epoch. */
  public static final long MAX_TIME_MILLIS = 1L << 50;

  private static final long MAX_WARM_UP_MILLIS = 86_400_000;

  private WorkerEntries() {}

  /**
   * Parses an entry.
   *
   * @param key its key
   * @param text its value; may be null
   * @throws IOException if it names no worker that can be used; the message gives the reason
   */
  public static WorkerInfo parse(String key, String text) throws IOException {
    String id = key.substring(PREFIX.length());
    checkId(id);
    CheckedObject root = CheckedObject.parse(text);
    checkUnused(root);
    List<String> labels = root.texts("labels", MAX_LABELS, MAX_TEXT_CHARS);
    Resources capacity = capacity(root.object("capacity"));
    // The first label is the kind and the second the rack.
    return new WorkerInfo(
        id,
        root.text("service", MAX_TEXT_CHARS),
        address(root),
        root.text("zone", MAX_TEXT_CHARS),
        capacity,
        capacity,
        labels.isEmpty() ? "" : labels.get(0),
        labels.size() < 2 ? "" : labels.get(1),
        Set.copyOf(labels),
        isDraining(root),
        root.wholeNumberOrZero("born", MAX_TIME_MILLIS),
        (long) Math.max(0, root.numberOrZero("warmupLeftMs", MAX_WARM_UP_MILLIS)),
        (long) Math.max(0, root.numberOrZero("clockMs", MAX_TIME_MILLIS)));
  }

  /** An id is sent in a header, and is part of keys. */
  private static void checkId(String id) throws IOException {
    boolean isVisible = id.chars().allMatch(c -> c > ' ' && c < 0x7F);
    if (id.isEmpty() || id.length() > MAX_ID_CHARS || !isVisible) {
      throw new IOException("the id is not of 1 to " + MAX_ID_CHARS + " visible characters");
    }
  }

  /** Fields that are not used must have the right type too, since a worker wrote them otherwise. */
  private static void checkUnused(CheckedObject root) throws IOException {
    if (root.has("version")) {
      root.text("version", MAX_TEXT_CHARS);
    }
    root.numberOrZero("slots", MAX_AMOUNT);
    root.numberOrZero("seq", MAX_TIME_MILLIS);
  }

  private static String address(CheckedObject root) throws IOException {
    String address = root.text("address", MAX_TEXT_CHARS);
    if (!HostPort.isIpv4(address)) {
      throw new IOException("the address is no IPv4 address with a port");
    }
    return address;
  }

  private static Resources capacity(CheckedObject capacity) throws IOException {
    return new Resources(
        capacity.wholeNumber("cpu", MAX_AMOUNT),
        capacity.wholeNumber("memMb", MAX_AMOUNT),
        capacity.wholeNumberOrZero("gpu", MAX_AMOUNT));
  }

  private static boolean isDraining(CheckedObject root) throws IOException {
    String state = root.text("state", MAX_TEXT_CHARS);
    if (!state.equals("ready") && !state.equals("draining")) {
      throw new IOException("the state is neither ready nor draining");
    }
    return state.equals("draining");
  }
}
