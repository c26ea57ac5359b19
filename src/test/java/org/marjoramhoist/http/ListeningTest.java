package org.marjoramhoist.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.BindException;
import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;

class ListeningTest {

  /** Undertow wraps the system's failure, which names no address. */
  @Test
  void wrappedFailureNamesTheAddress() throws Exception {
    try (LoopbackServer first = new LoopbackServer("127.0.0.1:0", exchange -> {})) {
      String address = first.address();
      BindException e =
          assertThrows(
              BindException.class,
              () ->
                  Listening.at(
                      HostPort.parse(address), () -> new LoopbackServer(address, exchange -> {})));
      assertThat(e).hasMessageThat().startsWith(address + ": ");
      assertThat(e).hasCauseThat().isInstanceOf(BindException.class);
    }
  }

  @Test
  void addressOfSixteenBytesIsNamedInBrackets() {
    BindException e =
        assertThrows(
            BindException.class,
            () ->
                Listening.at(
                    new InetSocketAddress("::1", 7), () -> throwing(new BindException("in use"))));
    assertThat(e).hasMessageThat().isEqualTo("[0:0:0:0:0:0:0:1]:7: in use");
  }

  @Test
  void otherFailureStaysAsItIs() {
    IllegalStateException other = new IllegalStateException("other");
    IllegalStateException e =
        assertThrows(
            IllegalStateException.class,
            () ->
                Listening.at(
                    new InetSocketAddress("127.0.0.1", 7),
                    () -> {
                      throw other;
                    }));
    assertThat(e).isSameInstanceAs(other);
  }

  private static Object throwing(BindException e) throws BindException {
    throw e;
  }
}
