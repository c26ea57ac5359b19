package org.marjoramhoist.http;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.platform.standin.SampleDocuments;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

class HttpCallerTest {

  @Test
  void takesReplyThatArrivedWhileItsThreadWasBusy() throws Exception {
    CountDownLatch answered = new CountDownLatch(1);
    CountDownLatch blocked = new CountDownLatch(1);
    XnioWorker worker =
        Xnio.getInstance()
            .createWorker(OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).getMap());
    try (LoopbackServer server =
            new LoopbackServer(
                "127.0.0.1:0",
                exchange -> {
                  blocked.await();
                  exchange.getResponseSender().send("late reader");
                  answered.countDown();
                });
        HttpCaller caller = new HttpCaller(worker)) {
      long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(300);
      CompletableFuture<HttpReply> reply =
          caller.call(HttpCall.of(server.address(), "GET", "/", "", deadline));
      Thread.sleep(100);
      worker
          .getIoThread()
          .execute(
              () -> {
                blocked.countDown();
                awaitPast(answered, deadline);
              });
      assertThat(reply.get().body()).isEqualTo("late reader");
    } finally {
      worker.shutdown();
    }
  }

  @Test
  void tellsHowCallsFail() throws Exception {
    try (LoopbackServer silent =
            new LoopbackServer("127.0.0.1:0", exchange -> exchange.dispatch(() -> {}));
        LoopbackServer breaking =
            new LoopbackServer("127.0.0.1:0", exchange -> exchange.getConnection().close());
        HttpCaller caller = new HttpCaller("test", 1)) {
      assertThat(failureAt(caller, freeAddress())).isEqualTo(HttpException.Kind.REFUSED);
      assertThat(failureAt(caller, silent.address())).isEqualTo(HttpException.Kind.TIMED_OUT);
      assertThat(failureAt(caller, breaking.address())).isEqualTo(HttpException.Kind.BROKEN);
    }
  }

  /** Guards against requests that are shorter than they say wherever the language isn't set. */
  @Test
  void sendsBodyInUtf8WhateverTheDefaultCharset() throws Exception {
    String body = "{\"spec\":\"" + SampleDocuments.LETTERS + "\"}";
    try (LoopbackServer echo =
            new LoopbackServer(
                "127.0.0.1:0",
                exchange ->
                    Exchanges.receive(
                        exchange, (same, bytes) -> Exchanges.reply(same, 200, hex(bytes))));
        HttpCaller caller = new HttpCaller("test", 1)) {
      long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
      HttpReply reply = caller.call(HttpCall.of(echo.address(), "POST", "/", body, deadline)).get();
      assertThat(reply).isEqualTo(new HttpReply(200, hex(body.getBytes(StandardCharsets.UTF_8))));
    }
  }

  private static String hex(byte[] bytes) {
    return HexFormat.of().formatHex(bytes);
  }

  private static HttpException.Kind failureAt(HttpCaller caller, String address) {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(300);
    return caller
        .call(HttpCall.of(address, "GET", "/", "", deadline))
        .handle((reply, error) -> HttpException.kindOf(error))
        .join();
  }

  /** Returns an address at which nothing listens. */
  private static String freeAddress() throws IOException {
    return "127.0.0.1:" + LoopbackPorts.free(1).get(0);
  }

  private static void awaitPast(CountDownLatch answered, long deadline) {
    try {
      answered.await();
      while (System.nanoTime() - deadline < TimeUnit.MILLISECONDS.toNanos(50)) {
        Thread.sleep(10);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
