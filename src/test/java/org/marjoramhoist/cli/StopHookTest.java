package org.marjoramhoist.cli;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class StopHookTest {

  private final StopHook hook = new StopHook();
  private final AtomicInteger stops = new AtomicInteger();

  @Test
  void hostThatIsToldToStopWhileItStartsIsStoppedInAnOrderlyWay() throws Exception {
    CompletableFuture<Void> signal = CompletableFuture.runAsync(hook::run);
    Thread.sleep(50);
    assertThat(signal.isDone()).isFalse();
    hook.started(stops::incrementAndGet);
    hook.startEnded();
    signal.get(10, TimeUnit.SECONDS);
    assertThat(stops.get()).isEqualTo(1);
  }

  @Test
  void processThatIsToldToStopEndsWhenItsHostDoesNotStart() throws Exception {
    CompletableFuture<Void> signal = CompletableFuture.runAsync(hook::run);
    hook.startEnded();
    signal.get(10, TimeUnit.SECONDS);
    assertThat(stops.get()).isEqualTo(0);
  }
}
