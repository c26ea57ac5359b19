package org.marjoramhoist.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.http.LoopbackPorts;
import org.marjoramhoist.message.PeerMessage;
import org.marjoramhoist.model.HostId;
import org.marjoramhoist.model.HostRef;
import org.marjoramhoist.model.SubmissionId;
import org.marjoramhoist.model.TeamId;

class PeerNetworkTest {

  private static final long PATIENCE_SECONDS = 15;

  private static final class Recorder implements PeerEvents {
    private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();

    @Override
    public void linkUp(HostRef host, String address, String domain) {
      heard.add("up " + host.host());
    }

    @Override
    public void linkLost(HostId host) {
      heard.add("lost " + host);
    }

    @Override
    public void received(HostRef from, PeerMessage message) {
      heard.add(from.host() + " " + message);
    }

    String next() throws InterruptedException {
      return heard.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }
  }

  private static String freeAddress() throws IOException {
    return "127.0.0.1:" + LoopbackPorts.free(1).get(0);
  }

  private static Hello hello(String name, String address, int protocol, String layout) {
    HostRef ref = new HostRef(new HostId(name), 1);
    return new Hello(protocol, protocol, ref, address, "d", layout);
  }

  private static PeerNetwork network(Hello hello, PeerEvents events) throws IOException {
    return new PeerNetwork(hello, events, SocketMaker.PLAIN);
  }

  @Test
  void addressInUseIsNamed() throws Exception {
    String address = freeAddress();
    Hello hello = hello("a", address, 1, "x");
    try (PeerNetwork first = network(hello, new Recorder())) {
      first.dial(address);
      BindException e = assertThrows(BindException.class, () -> network(hello, new Recorder()));
      assertThat(e).hasMessageThat().startsWith(address + ": ");
    }
  }

  @Test
  void carriesMessagesBothWays() throws Exception {
    Recorder atA = new Recorder();
    Recorder atB = new Recorder();
    String a = freeAddress();
    String b = freeAddress();
    PeerMessage message = new PeerMessage.Cancel(new SubmissionId("s"), new TeamId("t"));
    try (PeerNetwork first = network(hello("a", a, 1, "x"), atA);
        PeerNetwork second = network(hello("b", b, 1, "x"), atB)) {
      first.dial(b);
      assertThat(atA.next()).isEqualTo("up b");
      assertThat(atB.next()).isEqualTo("up a");
      first.send(new HostId("b"), message);
      second.send(new HostId("a"), message);
      assertThat(atB.next()).isEqualTo("a " + message);
      assertThat(atA.next()).isEqualTo("b " + message);
    }
  }

  @Test
  void refusesIncompatiblePeers() throws Exception {
    Hello self = hello("a", "127.0.0.1:1", 1, "x");
    assertThat(self.incompatibilityWith(hello("b", "127.0.0.1:2", 2, "x")))
        .contains("does not overlap");
    assertThat(self.incompatibilityWith(hello("b", "127.0.0.1:2", 1, "y")))
        .contains("claim layout");
    assertThat(self.incompatibilityWith(hello("b", "127.0.0.1:2", 1, "x"))).isEmpty();
    Recorder events = new Recorder();
    String address = freeAddress();
    try (PeerNetwork network = network(hello("a", address, 1, "x"), events);
        Socket socket = connect(address)) {
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      FrameCodec.write(out, FrameCodec.encode(hello("b", "127.0.0.1:2", 9, "x")));
      HelloReply reply =
          FrameCodec.decode(
              FrameCodec.read(new DataInputStream(socket.getInputStream())), HelloReply.class);
      assertThat(reply.refusal()).contains("does not overlap");
      assertThat(network.dialled()).isEmpty();
    }
  }

  private static Socket connect(String address) throws IOException {
    int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(10_000);
    return socket;
  }

  @Test
  void closesOnlyTheConnectionOfBrokenFrame() throws Exception {
    Recorder atA = new Recorder();
    String a = freeAddress();
    String b = freeAddress();
    try (PeerNetwork first = network(hello("a", a, 1, "x"), atA);
        PeerNetwork second = network(hello("b", b, 1, "x"), new Recorder())) {
      second.dial(a);
      assertThat(atA.next()).isEqualTo("up b");
      try (Socket socket = connect(a)) {
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.writeInt(Integer.MAX_VALUE);
        out.flush();
        assertThat(socket.getInputStream().read()).isEqualTo(-1);
      }
      PeerMessage message = new PeerMessage.ConfigRequest(3);
      second.send(new HostId("a"), message);
      first.send(new HostId("b"), message);
      assertThat(atA.next()).isEqualTo("b " + message);
    }
  }

  @Test
  void replacesConnectionThatWentSilent() throws Exception {
    Recorder events = new Recorder();
    String own = freeAddress();
    try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        PeerNetwork network = network(hello("a", own, 1, "x"), events)) {
      String address = "127.0.0.1:" + silent.getLocalPort();
      network.dial(address);
      try (Socket accepted = silent.accept()) {
        answerHello(accepted, address);
        assertThat(events.next()).isEqualTo("up b");
        assertThat(events.next()).isEqualTo("lost b");
        try (Socket again = silent.accept()) {
          answerHello(again, address);
          assertThat(events.next()).isEqualTo("up b");
        }
      }
    }
  }

  private static void answerHello(Socket socket, String address) throws IOException {
    FrameCodec.read(new DataInputStream(socket.getInputStream()));
    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    HelloReply reply = new HelloReply(hello("b", address, 1, "x"), "");
    FrameCodec.write(out, FrameCodec.encode(reply));
    out.flush();
  }
}
