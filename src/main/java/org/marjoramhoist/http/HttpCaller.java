package org.marjoramhoist.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StringWriteChannelListener;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.marjoramhoist.http.HttpException.Kind;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Calls HTTP servers over pooled connections.
 *
 * <p>A connection carries one request at a time. One that fails, times out, or has been idle for
 * long is closed and never used again. Safe for use by several threads.
 */
public final class HttpCaller implements AutoCloseable {

  /** Bodies are counted and written in it; a request that is shorter than it says ends broken. */
  private static final Charset BODY_CHARSET = StandardCharsets.UTF_8;

  private static final int BUFFER_BYTES = 16 * 1024;
  private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(15);
  private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(15);
  private static final long GRACE_MILLIS = 30;
  private static final int MAX_BODY_BYTES = 64 << 20;

  /** The message of a {@link ConnectException} that is neither a timeout nor a missing route. */
  private static final String CONNECTION_REFUSED = "Connection refused";

  private record Idle(ClientConnection connection, long since) {}

  private final XnioWorker worker;
  private final boolean ownsWorker;
  private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
  private final Map<String, Deque<Idle>> idle = new ConcurrentHashMap<>();

  /**
   * Creates a caller with its own I/O threads.
   *
   * @param name names the threads
   * @param ioThreads how many there are
   */
  public HttpCaller(String name, int ioThreads) {
    this(createWorker(name, ioThreads), true);
  }

  /** Creates a caller that uses the I/O threads of a worker, which stays its creator's. */
  public HttpCaller(XnioWorker worker) {
    this(worker, false);
  }

  private HttpCaller(XnioWorker worker, boolean ownsWorker) {
    this.worker = worker;
    this.ownsWorker = ownsWorker;
  }

  private static XnioWorker createWorker(String name, int ioThreads) {
    try {
      return Xnio.getInstance()
          .createWorker(
              OptionMap.builder()
                  .set(Options.WORKER_NAME, name)
                  .set(Options.WORKER_IO_THREADS, ioThreads)
                  .set(Options.WORKER_TASK_CORE_THREADS, 1)
                  .set(Options.WORKER_TASK_MAX_THREADS, 1)
                  .set(Options.TCP_NODELAY, true)
                  .set(Options.THREAD_DAEMON, true)
                  .getMap());
    } catch (IOException e) {
      throw new IllegalStateException("can't start I/O threads", e);
    }
  }

  /** Sends a request; the future fails with {@link HttpException}. */
  public CompletableFuture<HttpReply> call(HttpCall call) {
    return call(call, null);
  }

  /**
   * Sends a request whose reply is a stream of lines.
   *
   * @param lines takes each line as it arrives; null to collect the body
   * @return completes at the end of the stream; fails with {@link HttpException}
   */
  public CompletableFuture<HttpReply> call(HttpCall call, Consumer<String> lines) {
    Pending pending = new Pending(call, lines);
    ClientConnection pooled = call.fresh() ? null : takeIdle(call.authority());
    if (pooled != null) {
      pending.send(pooled);
    } else {
      connect(pending);
    }
    return pending.future;
  }

  private ClientConnection takeIdle(String authority) {
    Deque<Idle> all = idle.get(authority);
    if (all == null) {
      return null;
    }
    synchronized (all) {
      while (!all.isEmpty()) {
        Idle last = all.pollLast();
        boolean stale = System.nanoTime() - last.since > MAX_IDLE_NANOS;
        if (!stale && last.connection.isOpen()) {
          return last.connection;
        }
        IoUtils.safeClose(last.connection);
      }
    }
    return null;
  }

  private void giveBack(String authority, ClientConnection connection) {
    if (!connection.isOpen()) {
      return;
    }
    Deque<Idle> all = idle.computeIfAbsent(authority, key -> new ArrayDeque<>());
    synchronized (all) {
      all.addLast(new Idle(connection, System.nanoTime()));
    }
  }

  private void connect(Pending pending) {
    try {
      URI uri = URI.create("http://" + pending.call.authority());
      XnioIoThread thread = worker.getIoThread();
      pending.startTimer(thread);
      UndertowClient.getInstance()
          .connect(
              new ClientCallback<ClientConnection>() {
                @Override
                public void completed(ClientConnection connection) {
                  pending.send(connection);
                }

                @Override
                public void failed(IOException e) {
                  pending.fail(false, kindOf(e), "can't connect: " + describe(e));
                }
              },
              uri,
              thread,
              buffers,
              OptionMap.create(Options.TCP_NODELAY, true));
    } catch (IllegalArgumentException e) {
      pending.fail(false, Kind.INVALID, "not an address: " + pending.call.authority());
    }
  }

  private static Kind kindOf(IOException e) {
    boolean refused = e instanceof ConnectException && CONNECTION_REFUSED.equals(e.getMessage());
    return refused ? Kind.REFUSED : Kind.BROKEN;
  }

  /** Describes a failure, also one without a message, as that of a closed channel. */
  private static String describe(IOException e) {
    return e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
  }

  /** One call from its start to its reply; ends exactly once. */
  private final class Pending {
    private final HttpCall call;
    private final Consumer<String> lines;
    private final CompletableFuture<HttpReply> future = new CompletableFuture<>();
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile ClientConnection connection;
    private volatile boolean sent;
    private volatile XnioExecutor.Key timer;

    Pending(HttpCall call, Consumer<String> lines) {
      this.call = call;
      this.lines = lines;
    }

    void startTimer(XnioIoThread thread) {
      long left = Math.max(0, call.deadlineNanos() - System.nanoTime());
      timer = thread.executeAfter(() -> timeUp(thread), left, TimeUnit.NANOSECONDS);
    }

    /** A thread that was busy past the deadline first reads replies that have arrived meanwhile. */
    private void timeUp(XnioIoThread thread) {
      if (System.nanoTime() - call.deadlineNanos() < LATE_NANOS) {
        fail(sent, Kind.TIMED_OUT, "no reply in time");
      } else {
        timer =
            thread.executeAfter(
                () -> fail(sent, Kind.TIMED_OUT, "no reply in time"),
                GRACE_MILLIS,
                TimeUnit.MILLISECONDS);
      }
    }

    void send(ClientConnection to) {
      connection = to;
      if (ended.get()) {
        IoUtils.safeClose(to);
        return;
      }
      try {
        to.getIoThread().execute(() -> sendNow(to));
      } catch (RejectedExecutionException e) {
        fail(false, Kind.INVALID, "the process stops");
      }
    }

    private void sendNow(ClientConnection to) {
      if (timer == null) {
        startTimer(to.getIoThread());
      }
      if (!ended.get()) {
        sent = true;
        to.sendRequest(request(), new Sent(this));
      }
    }

    private ClientRequest request() {
      ClientRequest request = new ClientRequest();
      request.setMethod(HttpString.tryFromString(call.method()));
      request.setPath(call.path());
      request.getRequestHeaders().put(Headers.HOST, call.authority());
      byte[] body = call.body().getBytes(BODY_CHARSET);
      request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
      if (body.length > 0) {
        request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
      }
      if (!call.token().isEmpty()) {
        request.getRequestHeaders().put(Headers.AUTHORIZATION, "Bearer " + call.token());
      }
      call.headers()
          .forEach((name, value) -> request.getRequestHeaders().put(new HttpString(name), value));
      return request;
    }

    void complete(int status, String body, boolean reusable) {
      if (ended.compareAndSet(false, true)) {
        cancelTimer();
        if (reusable && !call.fresh()) {
          giveBack(call.authority(), connection);
        } else {
          IoUtils.safeClose(connection);
        }
        future.complete(new HttpReply(status, body));
      }
    }

    void fail(boolean wasSent, Kind kind, String message) {
      if (ended.compareAndSet(false, true)) {
        cancelTimer();
        IoUtils.safeClose(connection);
        future.completeExceptionally(new HttpException(wasSent, kind, message));
      }
    }

    private void cancelTimer() {
      XnioExecutor.Key key = timer;
      if (key != null) {
        key.remove();
      }
    }
  }

  /** Writes the body and awaits the reply. */
  private final class Sent implements ClientCallback<ClientExchange> {
    private final Pending pending;

    Sent(Pending pending) {
      this.pending = pending;
    }

    @Override
    public void completed(ClientExchange exchange) {
      exchange.setResponseListener(
          new ClientCallback<ClientExchange>() {
            @Override
            public void completed(ClientExchange result) {
              read(result);
            }

            @Override
            public void failed(IOException e) {
              pending.fail(true, Kind.BROKEN, "connection lost: " + describe(e));
            }
          });
      new StringWriteChannelListener(pending.call.body(), BODY_CHARSET)
          .setup(exchange.getRequestChannel());
    }

    private void read(ClientExchange exchange) {
      int status = exchange.getResponse().getResponseCode();
      boolean keepAlive =
          !"close"
              .equalsIgnoreCase(
                  exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION));
      new BodyReader(
              MAX_BODY_BYTES,
              pending.lines,
              body -> pending.complete(status, body, keepAlive),
              message -> pending.fail(true, Kind.BROKEN, message))
          .start(exchange.getResponseChannel(), buffers);
    }

    @Override
    public void failed(IOException e) {
      pending.fail(true, Kind.BROKEN, "connection lost: " + describe(e));
    }
  }

  @Override
  public void close() {
    for (Deque<Idle> all : idle.values()) {
      synchronized (all) {
        all.forEach(entry -> IoUtils.safeClose(entry.connection));
        all.clear();
      }
    }
    if (ownsWorker) {
      worker.shutdown();
    }
  }
}
