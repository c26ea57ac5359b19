package org.marjoramhoist.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.marjoramhoist.dispatch.CallKind;
import org.marjoramhoist.dispatch.DispatchAction;
import org.marjoramhoist.dispatch.DispatchEvent;
import org.marjoramhoist.dispatch.DispatchPolicy;
import org.marjoramhoist.dispatch.Dispatcher;
import org.marjoramhoist.dispatch.StoredJob;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.http.HttpFailure;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.HostMessage.Finished;
import org.marjoramhoist.message.HostMessage.JobCall;
import org.marjoramhoist.message.HostMessage.JobCallReply;
import org.marjoramhoist.message.HostMessage.Submit;
import org.marjoramhoist.message.HostMessage.Withdraw;
import org.marjoramhoist.platform.Declarations;
import org.marjoramhoist.platform.KeyValueClient;
import org.marjoramhoist.platform.KeyValueClient.Page;
import org.marjoramhoist.platform.WorkerCalls;

/**
 * One term of leading: feeds the decisions and carries out what they ask for.
 *
 * <p>While it may not be the leader any more, as it is out of contact, events wait and nothing is
 * ordered. After {@link #close} nothing more is decided or ordered. Confined to the loop's thread.
 */
final class LeaderDuty implements AutoCloseable {

  private static final long TICK_MILLIS = 20;
  private static final long LIST_WORKERS_MILLIS = 500;
  private static final long STATUS_MILLIS = 1_000;

  /**
   * How long the stored jobs are left unread while nobody calls about one: a new leader takes over
   * the runs first.
   */
  private static final long LOAD_DELAY_MILLIS = 400;

  private static final long START_TIMEOUT_MILLIS = 120;
  private static final long STOP_TIMEOUT_MILLIS = 150;
  private static final long RENEW_TIMEOUT_MILLIS = 150;

  /** Delivers the end of a job, or of a call about one, to the host whose caller waits. */
  interface Delivery {
    void deliver(String host, HostMessage answer);
  }

  /**
   * What this host may do now as leader.
   *
   * @param order whether it may order anything
   * @param start whether it may start new runs
   */
  record Permits(BooleanSupplier order, BooleanSupplier start) {}

  private final long term;
  private final Loop loop;
  private final KeyValueClient store;
  private final StoreHealth health;
  private final WorkerCalls workers;
  private final NodeMetrics metrics;
  private final Permits permits;
  private final Delivery delivery;
  private final Consumer<String> onStale;
  private final JobStore jobStore;
  private final RosterStore rosterStore;
  private final Dispatcher dispatcher;
  private final long epochMillis;
  private final List<DispatchEvent> events = new ArrayList<>();
  private boolean due;
  private final LoopLoad load = new LoopLoad();
  private boolean loading;
  private boolean mayStartTold = true;
  private boolean closed;

  LeaderDuty(
      long term,
      DispatchPolicy policy,
      long earlierRunsOverAt,
      Loop loop,
      KeyValueClient store,
      StoreHealth health,
      WorkerCalls workers,
      NodeMetrics metrics,
      Permits permits,
      Delivery delivery,
      Consumer<String> onStale) {
    this.term = term;
    this.loop = loop;
    this.store = store;
    this.health = health;
    this.workers = workers;
    this.metrics = metrics;
    this.permits = permits;
    this.delivery = delivery;
    this.onStale = onStale;
    this.epochMillis = System.currentTimeMillis() - TimeUnit.MICROSECONDS.toMillis(Loop.now());
    this.jobStore = new JobStore(term, store, health, loop, this::take, onStale);
    this.rosterStore = new RosterStore(term, store, health, loop, this::take, onStale);
    this.dispatcher = new Dispatcher(policy, Loop.now(), earlierRunsOverAt, epochMillis);
  }

  void start() {
    loop.after(LOAD_DELAY_MILLIS, this::loadJobs);
    rosterStore.start();
    loop.after(STATUS_MILLIS, this::tellStatus);
    listWorkers();
    tick();
  }

  private void tellStatus() {
    if (closed) {
      return;
    }
    boolean mayOrder = permits.order().getAsBoolean();
    if (closed) {
      return;
    }
    LeaderStatus status =
        new LeaderStatus(dispatcher.snapshot(Loop.now()), mayOrder, events.size(), load.take());
    metrics.leads(status);
    EventLog.info(LogEvent.LEADER_STATUS, "term={} {}", term, status);
    loop.after(STATUS_MILLIS, this::tellStatus);
  }

  /** Reads the stored jobs, once. */
  private void loadJobs() {
    if (!loading && !closed) {
      loading = true;
      jobStore.start();
    }
  }

  long term() {
    return term;
  }

  Map<String, Integer> waiting() {
    return dispatcher.waitingByClass();
  }

  /** Takes in a message of an entry host, which may be this one. */
  void fromEntry(String host, HostMessage message) {
    long now = Loop.now();
    if (message instanceof Submit submit) {
      take(
          new DispatchEvent.JobSubmitted(
              submit.job(),
              submit.requestClass(),
              host,
              now - submit.ageMicros(),
              now + submit.patienceMicros(),
              submit.generation()));
    } else if (message instanceof Withdraw withdraw) {
      take(new DispatchEvent.JobWithdrawn(withdraw.job(), host));
    } else if (message instanceof JobCall call) {
      loadJobs();
      take(called(host, call, now));
    }
  }

  private DispatchEvent called(String host, JobCall call, long now) {
    long arrivedAt = now - call.ageMicros();
    StoredJob record = null;
    if (call.kind() == CallKind.SUBMIT) {
      long acceptedMillis = epochMillis + TimeUnit.MICROSECONDS.toMillis(arrivedAt);
      record = new StoredJob(call.job(), call.requestClass(), acceptedMillis);
    }
    return new DispatchEvent.JobCalled(
        call.kind(), call.id(), record, host, call.call(), arrivedAt);
  }

  /** Takes in that an entry host is gone. */
  void entryLost(String host) {
    take(new DispatchEvent.EntryLost(host));
  }

  private void tick() {
    if (!closed) {
      long now = Loop.now();
      take(new DispatchEvent.Tick());
      loop.after(TICK_MILLIS, this::tick);
      load.ticked(now, Loop.now() + Loop.micros(TICK_MILLIS));
    }
  }

  private void listWorkers() {
    if (!closed) {
      store
          .readAll(Declarations.WORKERS_PREFIX)
          .whenComplete((page, error) -> loop.execute(() -> listed(page, error)));
    }
  }

  private void listed(Page page, Throwable error) {
    if (closed) {
      return;
    }
    loop.after(LIST_WORKERS_MILLIS, this::listWorkers);
    if (error != null) {
      health.failed(error);
      return;
    }
    health.reached();
    List<WorkerInfo> all =
        page.items().stream()
            .map(item -> Declarations.readWorker(item.key(), item.value()))
            .flatMap(Optional::stream)
            .toList();
    take(new DispatchEvent.WorkersListed(all));
  }

  /**
   * Takes in an event. All that the loop hears in one turn is decided on at once, so that a leader
   * that falls behind gives out room less often.
   */
  private void take(DispatchEvent event) {
    events.add(event);
    if (!due) {
      due = true;
      loop.execute(this::decide);
    }
  }

  private void decide() {
    due = false;
    if (closed || !permits.order().getAsBoolean()) {
      return;
    }
    boolean mayStart = permits.start().getAsBoolean();
    if (mayStart != mayStartTold) {
      mayStartTold = mayStart;
      events.add(0, new DispatchEvent.StartsAllowed(mayStart));
    }
    List<DispatchEvent> heard = List.copyOf(events);
    events.clear();
    long now = Loop.now();
    dispatcher.step(now, heard).forEach(this::run);
    load.stepped(Loop.now() - now);
  }

  private void run(DispatchAction action) {
    if (closed) {
      return;
    }
    if (action instanceof DispatchAction.Start start) {
      orderStart(start);
    } else if (action instanceof DispatchAction.Renew renew) {
      renew(renew);
    } else if (action instanceof DispatchAction.Stop stop) {
      stop(stop);
    } else if (action instanceof DispatchAction.Finish finish) {
      Finished end =
          new Finished(finish.job(), finish.outcome(), finish.reason(), finish.retryAfterMillis());
      finish.entries().forEach(host -> delivery.deliver(host, end));
    } else if (action instanceof DispatchAction.Store changes) {
      jobStore.write(changes.batch());
    } else if (action instanceof DispatchAction.StoreRoster roster) {
      rosterStore.write(roster.change());
    } else if (action instanceof DispatchAction.Reply reply) {
      delivery.deliver(
          reply.entry(),
          new JobCallReply(reply.call(), reply.result(), reply.status(), reply.retryAfterMillis()));
    } else if (action instanceof DispatchAction.StepDown stepDown) {
      onStale.accept(stepDown.reason());
    } else if (action instanceof DispatchAction.Log log) {
      log(log);
    }
  }

  private void log(DispatchAction.Log log) {
    metrics.decided(log.event());
    switch (log.event()) {
      case JOB_COMPLETED -> EventLog.debug(log.event(), "{}", log.detail());
      case WORKER_EJECTED -> EventLog.warn(log.event(), "{}", log.detail());
      default -> EventLog.info(log.event(), "{}", log.detail());
    }
  }

  private void orderStart(DispatchAction.Start start) {
    long sentAt = Loop.now();
    WorkerInfo worker = start.worker();
    EventLog.debug(LogEvent.RUN_ORDERED, "run={} worker={}", start.run(), worker.id());
    workers
        .start(
            worker.address(),
            worker.id(),
            start.run(),
            start.payload(),
            start.leaseUntilMillis(),
            term,
            START_TIMEOUT_MILLIS)
        .whenComplete(
            (reply, error) -> {
              metrics.order("start", error == null ? reply.verdict().name() : "UNANSWERED");
              if (error == null) {
                take(new DispatchEvent.StartAnswered(worker.id(), start.run(), sentAt, reply));
              } else {
                boolean mayRun = HttpFailure.mayHaveArrived(error);
                take(new DispatchEvent.StartUnanswered(worker.id(), start.run(), mayRun));
              }
            });
  }

  private void stop(DispatchAction.Stop stop) {
    WorkerInfo worker = stop.worker();
    workers
        .stop(worker.address(), worker.id(), stop.run(), term, STOP_TIMEOUT_MILLIS)
        .whenComplete(
            (done, error) -> {
              boolean answered = error == null && done;
              metrics.order("stop", answered ? "CONFIRMED" : "UNANSWERED");
              take(new DispatchEvent.StopEnded(worker.id(), stop.run(), answered));
            });
  }

  private void renew(DispatchAction.Renew renew) {
    long sentAt = Loop.now();
    WorkerInfo worker = renew.worker();
    workers
        .renew(
            worker.address(),
            worker.id(),
            term,
            renew.acknowledged(),
            renew.leaseUntilMillis(),
            renew.waitMillis(),
            RENEW_TIMEOUT_MILLIS)
        .whenComplete(
            (report, error) -> {
              metrics.order("renew", error == null ? "ANSWERED" : "UNANSWERED");
              if (error == null) {
                take(new DispatchEvent.Renewed(worker.id(), sentAt, report));
              } else {
                take(new DispatchEvent.RenewalFailed(worker.id()));
              }
            });
  }

  @Override
  public void close() {
    closed = true;
    metrics.leads(LeaderStatus.NONE);
    jobStore.close();
    rosterStore.close();
  }
}
