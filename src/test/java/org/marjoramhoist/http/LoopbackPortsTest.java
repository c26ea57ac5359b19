package org.marjoramhoist.http;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LoopbackPortsTest {

  private static final int PORTS = 400;

  /** Guards against hosts under test that can't start, as another socket has got their port. */
  @Test
  void portsAreNotTakenBySocketsThatAreOpenedLater() throws IOException {
    Set<Integer> ports = new HashSet<>(LoopbackPorts.free(PORTS));
    Set<Integer> taken = new HashSet<>();
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < PORTS; i++) {
        sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
        taken.add(sockets.get(i).getLocalPort());
      }
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
    taken.retainAll(ports);
    assertThat(taken).isEmpty();
  }

  @Test
  void portsAreNotGivenOutTwice() throws IOException {
    Set<Integer> ports = new HashSet<>(LoopbackPorts.free(PORTS));
    ports.addAll(LoopbackPorts.free(PORTS));
    assertThat(ports).hasSize(2 * PORTS);
  }

  @Test
  void portThatIsInUseIsLeftOut() throws IOException {
    int port = LoopbackPorts.free(1).get(0);
    try (ServerSocket held = new ServerSocket(port + 1, 1, InetAddress.getLoopbackAddress())) {
      assertThat(LoopbackPorts.free(1)).doesNotContain(held.getLocalPort());
    }
  }
}
