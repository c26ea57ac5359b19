package org.marjoramhoist.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * One incarnation of an entry host: its name and the number of its boot.
 *
 * <p>A restart under the same name yields a greater boot number, so what an earlier incarnation
 * held in memory is never taken for what the present one holds. Immutable and safe for use by
 * several threads.
 *
 * @param host the host's name
 * @param boot the boot number; greater for a later boot
 */
public record HostRef(HostId host, long boot) implements Comparable<HostRef> {

  private static final char SEPARATOR = '/';

  /**
   * Parses the text form {@code host/boot}.
   *
   * @param text the text form
   * @return the incarnation
   * @throws IllegalArgumentException if the text is not of that form
   */
  @JsonCreator
  public static HostRef parse(String text) {
    int at = text == null ? -1 : text.lastIndexOf(SEPARATOR);
    if (at < 0) {
      throw new IllegalArgumentException("host incarnation must be name/boot: " + text);
    }
    return new HostRef(new HostId(text.substring(0, at)), Long.parseLong(text.substring(at + 1)));
  }

  /** Tells whether the other incarnation is an earlier one of the same host. */
  public boolean supersedes(HostRef other) {
    return host.equals(other.host) && boot > other.boot;
  }

  @Override
  public int compareTo(HostRef other) {
    int byName = host.compareTo(other.host);
    return byName != 0 ? byName : Long.compare(boot, other.boot);
  }

  @JsonValue
  @Override
  public String toString() {
    return host.value() + SEPARATOR + boot;
  }
}
