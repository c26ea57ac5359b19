package org.marjoramhoist.listener;

import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What a listener's handler uses of the head of a request; the rest is dropped as it is read.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class HeadForm {

  private final Set<String> headers;
  private final boolean query;

  /**
   * Creates a form.
   *
   * @param headers the names of the headers that the handler reads, beside the host
   * @param query whether the handler reads the query
   */
  public HeadForm(Set<String> headers, boolean query) {
    this.headers =
        headers.stream().map(name -> name.toLowerCase(Locale.ROOT)).collect(Collectors.toSet());
    this.query = query;
  }

  boolean usesHeader(String lowerCaseName) {
    return headers.contains(lowerCaseName);
  }

  boolean usesQuery() {
    return query;
  }
}
