package org.marjoramhoist.entry;

import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.marjoramhoist.connection.ConnectionGroup;
import org.marjoramhoist.connection.ConnectionLimits;
import org.marjoramhoist.http.HostPort;
import org.marjoramhoist.http.HttpCaller;
import org.marjoramhoist.listener.Connections;
import org.marjoramhoist.listener.HeadForm;
import org.marjoramhoist.listener.HttpListener;
import org.marjoramhoist.model.RequestLimits;
import org.marjoramhoist.platform.KeyValueClient;
import org.marjoramhoist.platform.standin.PlatformStoreStandIn;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * An in-process store stand-in, a client for it, and an event loop for the components under test.
 */
abstract class StoreFixture {

  private static final long CALL_TIMEOUT_MILLIS = 500;
  private static final long TICK_MILLIS = 50;
  private static final int MAX_CONNECTIONS = 100;
  private static final long MAX_HELD_BYTES = 64 << 20;

  PlatformStoreStandIn store;
  KeyValueClient client;
  EventLoop loop;
  XnioWorker worker;

  /** The limits of requests at the listeners, which a test may change at any time. */
  volatile RequestLimits limits = RequestLimits.DEFAULT;

  @BeforeEach
  final void openStore() throws IOException {
    store = new PlatformStoreStandIn("127.0.0.1:0");
    worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                    .set(Options.THREAD_DAEMON, true)
                    .getMap());
    loop = new EventLoop(worker.getIoThread());
    client = new KeyValueClient(store.address(), new HttpCaller(worker), CALL_TIMEOUT_MILLIS);
  }

  /** Starts a listener for callers with the limits of requests. */
  final HttpListener listen(String address, HttpHandler handler) throws IOException {
    Connections connections =
        new Connections(
            new ConnectionLimits(
                MAX_CONNECTIONS, 1, 1, 1, MAX_HELD_BYTES, MAX_HELD_BYTES, MAX_HELD_BYTES),
            () -> limits);
    loop.scheduleWithFixedDelay(TICK_MILLIS, connections::tick);
    return new HttpListener(
        worker,
        connections,
        ConnectionGroup.CALLERS,
        new HeadForm(Set.of(), false),
        HostPort.parse(address),
        handler);
  }

  @AfterEach
  final void closeStore() {
    loop.close();
    worker.shutdownNow();
    store.close();
  }
}
