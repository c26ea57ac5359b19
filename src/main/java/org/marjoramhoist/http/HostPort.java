package org.marjoramhoist.http;

import java.net.InetSocketAddress;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Addresses written as {@code host:port}, with an IPv6 host in brackets.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class HostPort {

  private static final int MAX_PORT = 65_535;
  private static final String BYTE = "(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])";

  private static final Pattern IPV4 =
      Pattern.compile(BYTE + "(?:\\." + BYTE + "){3}:([1-9][0-9]{0,4})");

  /** Only an IPv6 address can stand in brackets, so that no name is ever looked up. */
  private static final Pattern IPV6 = Pattern.compile("\\[[0-9a-fA-F:.]+]:([1-9][0-9]{0,4})");

  private HostPort() {}

  /**
   * Returns whether a text is an IPv4 address with a port other than 0; such an address needs no
   * resolver.
   */
  public static boolean isIpv4(String text) {
    return hasPort(IPV4.matcher(text));
  }

  /** Returns whether a text is an IP address with a port other than 0. */
  public static boolean isIp(String text) {
    return isIpv4(text) || hasPort(IPV6.matcher(text));
  }

  private static boolean hasPort(Matcher matcher) {
    return matcher.matches() && Integer.parseInt(matcher.group(1)) <= MAX_PORT;
  }

  /**
   * Returns the address that a text names.
   *
   * @throws IllegalArgumentException if the text has no port, or one out of range
   */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0) {
      throw new IllegalArgumentException("no port in " + text);
    }
    String name = text.substring(0, colon).replace("[", "").replace("]", "");
    return new InetSocketAddress(name, Integer.parseInt(text.substring(colon + 1)));
  }
}
