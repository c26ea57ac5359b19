package org.marjoramhoist.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramhoist.http.HostPort;
import org.marjoramhoist.http.LoopbackPorts;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.HostMessage.LeaderQuery;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Links between hosts on loopback. */
class FrameNetworkTest {

  private static final long PATIENCE_MILLIS = 5_000;

  private final AtomicInteger heard = new AtomicInteger();
  private final CountDownLatch both = new CountDownLatch(2);
  private final FrameLink.Listener listener =
      new FrameLink.Listener() {
        @Override
        public void received(FrameLink link, HostMessage message) {
          boolean isFirst = heard.incrementAndGet() == 1;
          both.countDown();
          if (isFirst) {
            throw new IllegalStateException("a fault of the receiver");
          }
        }

        @Override
        public void closed(FrameLink link) {
          heard.addAndGet(100);
        }
      };
  private XnioWorker worker;
  private FrameNetwork network;
  private String address;

  @BeforeEach
  void listen() throws Exception {
    int port = LoopbackPorts.free(1).get(0);
    address = "127.0.0.1:" + port;
    worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.THREAD_DAEMON, true)
                    .getMap());
    network = new FrameNetwork(worker, new InetSocketAddress("127.0.0.1", port), listener);
  }

  @AfterEach
  void stop() {
    network.close();
    worker.shutdownNow();
  }

  /** An exception here would keep a leader from the hosts that it was to call next. */
  @ParameterizedTest
  @ValueSource(strings = {"", ":", "x", "127.0.0.1", "127.0.0.1:", "127.0.0.1:99999", "a b:1"})
  void linkToOddAddressFails(String odd) throws Exception {
    CompletableFuture<Boolean> refused = new CompletableFuture<>();
    network.open(odd, PATIENCE_MILLIS, listener, link -> heard.addAndGet(10), refused::complete);
    assertThat(refused.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS)).isFalse();
  }

  @Test
  void addressInUseIsNamed() {
    BindException e =
        assertThrows(
            BindException.class, () -> new FrameNetwork(worker, HostPort.parse(address), listener));
    assertThat(e).hasMessageThat().startsWith(address + ": ");
  }

  /** Logs of two hosts can only be compared if both call the link between them the same. */
  @Test
  void bothEndsOfLinkHaveTheSameId() throws Exception {
    int port = LoopbackPorts.free(1).get(0);
    CompletableFuture<String> acceptedId = new CompletableFuture<>();
    CompletableFuture<String> openedId = new CompletableFuture<>();
    FrameLink.Listener acceptor =
        new FrameLink.Listener() {
          @Override
          public void received(FrameLink link, HostMessage message) {
            acceptedId.complete(link.id());
          }

          @Override
          public void closed(FrameLink link) {}
        };
    try (FrameNetwork other =
        new FrameNetwork(worker, new InetSocketAddress("127.0.0.1", port), acceptor)) {
      other.open(
          "127.0.0.1:" + port,
          PATIENCE_MILLIS,
          listener,
          link -> {
            openedId.complete(link.id());
            link.send(new LeaderQuery("one"));
          },
          refused -> openedId.completeExceptionally(new IllegalStateException("not opened")));
      String id = openedId.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
      assertThat(acceptedId.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo(id);
      assertThat(List.of(id.split("-"))).contains(String.valueOf(port));
    }
  }

  private void assertLinkEnds(byte[] sent) throws Exception {
    try (Socket socket = new Socket()) {
      socket.connect(HostPort.parse(address));
      socket.setSoTimeout((int) PATIENCE_MILLIS);
      socket.getOutputStream().write(sent);
      assertThat(socket.getInputStream().read()).isEqualTo(-1);
    }
  }

  /** Before the first message anybody may be at the other end. */
  @Test
  void longFirstFrameEndsTheLink() throws Exception {
    assertLinkEnds(new byte[] {1, 0, 0, 0});
    assertLinkEnds(new byte[] {0, 2, 0, 0, 1});
  }

  @Test
  void emptyFrameEndsTheLink() throws Exception {
    assertLinkEnds(new byte[] {0, 0, 0, 0});
  }

  @Test
  void faultInOneMessageLeavesTheLinkOpen() throws Exception {
    CompletableFuture<FrameLink> opened = new CompletableFuture<>();
    network.open(
        address,
        PATIENCE_MILLIS,
        listener,
        opened::complete,
        refused -> opened.completeExceptionally(new IllegalStateException("not opened")));
    FrameLink link = opened.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
    worker
        .getIoThread()
        .execute(
            () -> {
              link.send(new LeaderQuery("one"));
              link.send(new LeaderQuery("two"));
            });
    assertThat(both.await(PATIENCE_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    assertThat(heard.get()).isEqualTo(2);
  }
}
