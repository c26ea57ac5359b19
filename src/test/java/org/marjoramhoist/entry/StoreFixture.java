package org.marjoramhoist.entry;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.marjoramhoist.http.HttpCaller;
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

  PlatformStoreStandIn store;
  KeyValueClient client;
  EventLoop loop;
  XnioWorker worker;

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

  @AfterEach
  final void closeStore() {
    loop.close();
    worker.shutdownNow();
    store.close();
  }
}
