package org.marjoramhoist.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the declared classes of request, found by host name and longest path prefix.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class RouteTable {

  /** A table without classes, older than any version. */
  public static final RouteTable EMPTY = new RouteTable(0, List.of());

  private final long version;
  private final Map<String, List<RequestClass>> byAuthority;

  /**
   * Creates a table.
   *
   * @param version the version; a later one is higher
   * @param classes the classes of request
   */
  public RouteTable(long version, List<RequestClass> classes) {
    this.version = version;
    this.byAuthority = new HashMap<>();
    for (RequestClass each : classes) {
      String authority = each.authority().toLowerCase(Locale.ROOT);
      byAuthority.computeIfAbsent(authority, key -> new ArrayList<>()).add(each);
    }
    Comparator<RequestClass> longestFirst =
        Comparator.comparingInt((RequestClass each) -> each.pathPrefix().length()).reversed();
    byAuthority.values().forEach(list -> list.sort(longestFirst));
  }

  /** Returns the version. */
  public long version() {
    return version;
  }

  /**
   * Returns the class of a request.
   *
   * @param authority the host name of the request, with or without a port
   * @param path the path of the request
   */
  public Optional<RequestClass> find(String authority, String path) {
    int colon = authority.indexOf(':');
    String name = colon < 0 ? authority : authority.substring(0, colon);
    List<RequestClass> all = byAuthority.get(name.toLowerCase(Locale.ROOT));
    if (all == null) {
      return Optional.empty();
    }
    return all.stream().filter(each -> path.startsWith(each.pathPrefix())).findFirst();
  }
}
