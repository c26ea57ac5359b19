package org.marjoramhoist.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.marjoramhoist.model.RequestLimits;

/**
 * One version of the declared request classes, looked up by host name and longest path prefix.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class RouteTable {

  /** A table without classes, older than any declared version. */
  public static final RouteTable EMPTY = new RouteTable(0, List.of());

  private final long version;
  private final Map<String, List<RequestClass>> byAuthority;
  private final RequestLimits limits;

  /** Creates a table with the default limits of requests. */
  public RouteTable(long version, List<RequestClass> classes) {
    this(version, classes, RequestLimits.DEFAULT);
  }

  /**
   * Creates a table.
   *
   * @param version the version; later tables have higher versions
   * @param classes the request classes
   * @param limits what a single request may cost
   */
  public RouteTable(long version, List<RequestClass> classes, RequestLimits limits) {
    this.version = version;
    this.limits = limits;
    this.byAuthority = new HashMap<>();
    for (RequestClass requestClass : classes) {
      String authority = requestClass.authority().toLowerCase(Locale.ROOT);
      byAuthority.computeIfAbsent(authority, key -> new ArrayList<>()).add(requestClass);
    }
    Comparator<RequestClass> longestFirst =
        Comparator.comparingInt((RequestClass requestClass) -> requestClass.pathPrefix().length())
            .reversed();
    byAuthority.values().forEach(list -> list.sort(longestFirst));
  }

  /** Returns the version. */
  public long version() {
    return version;
  }

  /** Returns what a single request may cost. */
  public RequestLimits limits() {
    return limits;
  }

  /**
   * Returns the request class of a request; empty if none matches.
   *
   * @param authority the host name of the request, with or without a port
   * @param path the path of the request
   */
  public Optional<RequestClass> find(String authority, String path) {
    int portSeparator = authority.indexOf(':');
    String hostName = portSeparator < 0 ? authority : authority.substring(0, portSeparator);
    List<RequestClass> candidates = byAuthority.get(hostName.toLowerCase(Locale.ROOT));
    if (candidates == null) {
      return Optional.empty();
    }
    return candidates.stream()
        .filter(requestClass -> path.startsWith(requestClass.pathPrefix()))
        .findFirst();
  }
}
