package org.marjoramhoist.resource;

import java.util.Locale;

/** The kinds of declared resource. */
public enum Kind {
  /** A service whose workers run tasks. */
  UPSTREAM,
  /** A customer with a quota and a share. */
  TEAM,
  /** A class of request. */
  CLASS;

  /** Returns the name used in documents and commands. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Returns the kind of a name used in documents.
   *
   * @throws IllegalArgumentException if there is no such kind
   */
  public static Kind of(String label) {
    for (Kind kind : values()) {
      if (kind.label().equals(label)) {
        return kind;
      }
    }
    throw new IllegalArgumentException("no such kind: " + label + "; use upstream, team or class");
  }
}
