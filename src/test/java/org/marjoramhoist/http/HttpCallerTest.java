package org.marjoramhoist.http;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
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
