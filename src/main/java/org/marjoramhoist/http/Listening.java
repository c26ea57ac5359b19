package org.marjoramhoist.http;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;

/**
 * Starts to listen at an address, and tells which one if that fails.
 *
 * <p>What the system tells of a failure ("Address already in use") names no address, and a host has
 * several. Stateless and safe for use by several threads.
 */
public final class Listening {

  private Listening() {}

  /**
   * What starts to listen.
   *
   * @param <T> the type of what listens then
   */
  @FunctionalInterface
  public interface Start<T> {

    /**
     * Starts to listen.
     *
     * @throws IOException if the address can't be bound
     */
    T start() throws IOException;
  }

  /**
   * Starts to listen.
   *
   * @param <T> the type of what listens then
   * @param address where; named in the message of a failure
   * @param start binds it; may wrap the system's failure in a {@code RuntimeException}
   * @return what {@code start} returned
   * @throws BindException if the address can't be bound
   * @throws IOException if something else fails
   */
  public static <T> T at(InetSocketAddress address, Start<T> start) throws IOException {
    try {
      return start.start();
    } catch (BindException e) {
      throw named(address, e);
    } catch (RuntimeException e) {
      if (e.getCause() instanceof BindException cause) {
        throw named(address, cause);
      }
      throw e;
    }
  }

  private static BindException named(InetSocketAddress address, BindException cause) {
    String host = address.getHostString();
    String name = host.contains(":") ? "[" + host + "]" : host;
    BindException e = new BindException(name + ":" + address.getPort() + ": " + cause.getMessage());
    e.initCause(cause);
    return e;
  }
}
