package org.marjoramhoist.host;

import io.undertow.server.HttpHandler;
import io.undertow.util.Headers;
import java.io.IOException;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.marjoramhoist.config.Settings;
import org.marjoramhoist.connection.ConnectionGroup;
import org.marjoramhoist.connection.ConnectionLimits;
import org.marjoramhoist.http.HostPort;
import org.marjoramhoist.listener.Connections;
import org.marjoramhoist.listener.HeadForm;
import org.marjoramhoist.listener.HttpListener;
import org.marjoramhoist.log.Faults;
import org.marjoramhoist.model.RequestLimits;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * A listener with an I/O thread of its own, which bounds what its clients may use.
 *
 * <p>Safe for use by several threads.
 */
final class HostListener implements AutoCloseable {

  private static final int MAX_HEAD_BYTES = 16 * 1_024;
  private static final long HEAD_TIMEOUT_MILLIS = 30_000;
  private static final long IDLE_MILLIS = 60_000;
  private static final long TICK_MILLIS = 250;
  private static final int MAX_LINGERING = 32;

  /** Bodies up to twice the limit are read, so that the handler tells the limit. */
  private static final int BODY_FACTOR = 2;

  /** The part of the heap for the requests of the listener, complete or not. */
  private static final int HEAP_PART = 8;

  private static final HeadForm FORM = new HeadForm(Set.of(Headers.AUTHORIZATION_STRING), true);

  private final XnioWorker worker;
  private final Connections connections;
  private final HttpListener listener;

  /**
   * Starts to listen.
   *
   * @throws IOException if the address can't be bound
   */
  HostListener(String address, Settings.Limits limits, HttpHandler handler) throws IOException {
    worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_NAME, "listener-" + address)
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                    .set(Options.TCP_NODELAY, true)
                    .set(Options.THREAD_DAEMON, true)
                    .getMap());
    long pool = Math.max(HEAP_PART * BODY_FACTOR * limits.maxBodyBytes(), maxMemory() / HEAP_PART);
    RequestLimits requestLimits =
        new RequestLimits(
            MAX_HEAD_BYTES,
            BODY_FACTOR * (int) limits.maxBodyBytes(),
            HEAD_TIMEOUT_MILLIS,
            IDLE_MILLIS);
    connections =
        new Connections(
            new ConnectionLimits(limits.maxConnections(), 0, 0, MAX_LINGERING, pool, pool, 0),
            () -> requestLimits);
    listener =
        new HttpListener(
            worker,
            connections,
            ConnectionGroup.CALLERS,
            limits.maxConnections(),
            FORM,
            HostPort.parse(address),
            handler);
    tickLater(worker.getIoThread());
  }

  private static long maxMemory() {
    return Runtime.getRuntime().maxMemory();
  }

  private void tickLater(XnioIoThread thread) {
    thread.executeAfter(
        () -> {
          Faults.contain("connections", connections::tick);
          tickLater(thread);
        },
        TICK_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    listener.close();
    worker.shutdownNow();
  }
}
