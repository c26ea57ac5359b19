package org.marjoramhoist.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import org.marjoramhoist.decision.Action;
import org.marjoramhoist.decision.Event;
import org.marjoramhoist.decision.HostCore;
import org.marjoramhoist.decision.Outcome;
import org.marjoramhoist.decision.Policy;
import org.marjoramhoist.model.AttemptId;
import org.marjoramhoist.model.DomainId;
import org.marjoramhoist.model.HostId;
import org.marjoramhoist.model.HostRef;
import org.marjoramhoist.model.JobSpec;
import org.marjoramhoist.model.SubmissionId;
import org.marjoramhoist.model.TeamId;
import org.marjoramhoist.resource.ResourceDoc;

/**
 * Hosts, workers and a store in virtual time, joined by messages with latency and faults.
 *
 * <p>The hosts' decisions are the product's own; everything around them is a small fake. The same
 * plan and seed give the same run. Confined to one thread.
 */
public final class VirtualFleet {

  /** When virtual time starts, in microseconds since the epoch. */
  public static final long START = 1_700_000_000_000_000L;

  private static final long TICK = 20 * Policy.MICROS_PER_MILLI;
  private static final long RECONNECT = 100 * Policy.MICROS_PER_MILLI;
  private static final long SETTLE_TIMEOUT = 500 * Policy.MICROS_PER_MILLI;
  private static final long SHORTEST_LATENCY = 10;

  /** The decisions of a host. */
  public interface Decisions {
    /** Takes in an event. */
    List<Action> step(long now, Event event);
  }

  private final FleetPlan plan;
  private final VirtualTime time = new VirtualTime(START);
  private final History history = new History();
  private final VirtualStore store = new VirtualStore(history);
  private final SplittableRandom random;
  private final BiFunction<Policy, Long, Decisions> maker;
  private final List<VirtualHost> hosts = new ArrayList<>();
  private final Map<String, VirtualWorker> workers = new HashMap<>();
  private final Map<String, Long> workerBoots = new HashMap<>();
  private final Set<String> cutLinks = new HashSet<>();
  private final Set<String> cutFromStore = new HashSet<>();
  private final Map<String, Long> lastArrival = new HashMap<>();
  private long requests;
  private long submitDelay;

  /** One host of the fleet, with its present incarnation. */
  private final class VirtualHost {
    private final HostId name;
    private final DomainId domain;
    private HostRef ref;
    private Decisions core;
    private boolean running;
    private boolean drained;
    private long pausedUntil;
    private int generation;

    VirtualHost(HostId name, DomainId domain) {
      this.name = name;
      this.domain = domain;
    }

    void boot() {
      generation++;
      ref = new HostRef(name, time.now() + generation);
      Policy policy = Policy.of(ref, name.value() + ":1", domain, domainIds());
      core = maker.apply(policy, time.now() + policy.deadAfter());
      running = true;
      drained = false;
      int present = generation;
      tick(present);
    }

    private void tick(int present) {
      if (running && generation == present) {
        deliver(new Event.Tick(), present);
        time.after(TICK, () -> tick(present));
      }
    }

    /** Passes an event to the incarnation it was meant for, after any pause. */
    void deliver(Event event, int meantFor) {
      if (!running || generation != meantFor) {
        return;
      }
      if (time.now() < pausedUntil) {
        time.at(pausedUntil, () -> deliver(event, meantFor));
        return;
      }
      for (Action action : core.step(time.now(), event)) {
        run(this, action);
      }
    }
  }

  /**
   * Creates a fleet and boots its hosts.
   *
   * @param plan the machines
   * @param seed seeds latencies
   * @param maker makes the decisions of an incarnation from its policy and settling time
   */
  public VirtualFleet(FleetPlan plan, long seed, BiFunction<Policy, Long, Decisions> maker) {
    this.plan = plan;
    this.random = new SplittableRandom(seed);
    this.maker = maker;
    for (FleetPlan.WorkerPlan worker : plan.workers()) {
      workers.put(worker.name(), new VirtualWorker(worker, time, history));
      workerBoots.put(worker.name(), START);
    }
    for (String domain : plan.domains()) {
      for (int i = 0; i < plan.hostsPerDomain(); i++) {
        hosts.add(new VirtualHost(new HostId(domain + "-h" + i), new DomainId(domain)));
      }
    }
    hosts.forEach(VirtualHost::boot);
    connectAll();
  }

  /** Returns the maker of the product's own decisions. */
  public static BiFunction<Policy, Long, Decisions> product() {
    return (policy, settledAt) -> new HostCore(policy, settledAt)::step;
  }

  private List<DomainId> domainIds() {
    return plan.domains().stream().map(DomainId::new).toList();
  }

  private void connectAll() {
    for (VirtualHost from : hosts) {
      for (VirtualHost to : hosts) {
        linkUp(from, to);
      }
    }
  }

  private void linkUp(VirtualHost from, VirtualHost to) {
    if (from != to && from.running && to.running && !isCut(from, to)) {
      from.deliver(
          new Event.LinkUp(to.ref, to.name.value() + ":1", to.domain.value()), from.generation);
    }
  }

  private boolean isCut(VirtualHost from, VirtualHost to) {
    return cutLinks.contains(from.name + ">" + to.name);
  }

  private void run(VirtualHost host, Action action) {
    if (action instanceof Action.Send a) {
      send(host, a);
    } else if (action instanceof Action.Start a) {
      start(host, a);
    } else if (action instanceof Action.Settle a) {
      settle(host, a);
    } else if (action instanceof Action.Abort a) {
      history.count("cancel");
      VirtualWorker worker = workers.get(a.worker().id().value());
      time.after(workerLatency(host, worker), () -> worker.cancel(a.attempt().value()));
    } else if (action instanceof Action.Reply a) {
      history.answer(new History.Answer(a.request(), time.now(), a.answer()));
    } else if (action instanceof Action.CountWaste a) {
      history.count("core." + a.kind());
    } else if (action instanceof Action.ConfigInForce a) {
      history.config(
          new History.ConfigInForce(time.now(), host.ref.toString(), a.view().revision()));
    } else if (action instanceof Action.Drained) {
      host.drained = true;
    } else if (action instanceof Action.ReplyTicket a) {
      tickets.put(a.request(), a.ticket());
    } else if (isStoreAction(action)) {
      callStore(host, action);
    }
  }

  private final Map<Long, SubmissionId> tickets = new HashMap<>();

  private static boolean isStoreAction(Action action) {
    return action instanceof Action.ReadShard
        || action instanceof Action.WriteShard
        || action instanceof Action.LogClaims
        || action instanceof Action.WriteAccounts
        || action instanceof Action.WatchConfig;
  }

  private long vary(long micros) {
    double factor = 1 + plan.jitter() * random.nextDouble();
    return Math.max(SHORTEST_LATENCY, (long) (micros * factor));
  }

  private long latency(DomainId a, String b) {
    return vary(a.value().equals(b) ? plan.localMicros() : plan.remoteMicros());
  }

  private void send(VirtualHost from, Action.Send send) {
    VirtualHost to = host(send.to());
    history.count("peer");
    if (to == null || isCut(from, to) || !to.running) {
      time.after(SHORTEST_LATENCY, eventTo(from, new Event.LinkLost(send.to())));
      return;
    }
    String link = from.name + ">" + to.name;
    long arrival = time.now() + latency(from.domain, to.domain.value());
    arrival = Math.max(arrival, lastArrival.getOrDefault(link, 0L));
    lastArrival.put(link, arrival);
    int meantFor = to.generation;
    HostRef sender = from.ref;
    time.at(
        arrival,
        () -> {
          if (!isCut(from, to)) {
            to.deliver(new Event.Received(sender, send.message()), meantFor);
          }
        });
  }

  private Runnable eventTo(VirtualHost host, Event event) {
    int meantFor = host.generation;
    return () -> host.deliver(event, meantFor);
  }

  private VirtualHost host(HostId name) {
    for (VirtualHost host : hosts) {
      if (host.name.equals(name)) {
        return host;
      }
    }
    return null;
  }

  private long workerLatency(VirtualHost host, VirtualWorker worker) {
    return latency(host.domain, worker.plan().domain());
  }

  private void start(VirtualHost host, Action.Start start) {
    history.count("start");
    VirtualWorker worker = workers.get(start.worker().id().value());
    int meantFor = host.generation;
    AttemptId id = start.attempt();
    long there = workerLatency(host, worker);
    if (worker.isDown()) {
      time.after(
          2 * there, eventTo(host, new Event.AttemptEnded(id, new Outcome.NotSent("refused"))));
      return;
    }
    time.after(
        there,
        () ->
            worker.start(
                start,
                outcome ->
                    time.after(
                        workerLatency(host, worker),
                        () -> host.deliver(new Event.AttemptEnded(id, outcome), meantFor))));
  }

  private void settle(VirtualHost host, Action.Settle settle) {
    history.count("probe");
    VirtualWorker worker = workers.get(settle.worker().id().value());
    if (worker.isDown()) {
      Event event = new Event.AttemptSettled(settle.attempt(), new Outcome.NotSent("refused"));
      time.after(SETTLE_TIMEOUT, eventTo(host, event));
      return;
    }
    long there = workerLatency(host, worker);
    int meantFor = host.generation;
    time.after(
        there,
        () -> {
          Outcome outcome = worker.settle(settle, workerBoots.get(worker.plan().name()));
          time.after(
              there,
              () -> host.deliver(new Event.AttemptSettled(settle.attempt(), outcome), meantFor));
        });
  }

  private void callStore(VirtualHost host, Action action) {
    int meantFor = host.generation;
    String caller = host.ref.toString();
    long half = vary(plan.storeMicros()) / 2;
    time.after(
        half,
        () -> {
          boolean cut = cutFromStore.contains(host.domain.value());
          Event event =
              cut ? unreachable(action) : store.run(caller, action, e -> host.deliver(e, meantFor));
          if (event != null) {
            time.after(half, () -> host.deliver(event, meantFor));
          }
        });
  }

  private static Event unreachable(Action action) {
    Event.WriteResult unknown = Event.WriteResult.UNKNOWN;
    if (action instanceof Action.ReadShard a) {
      return new Event.ShardRead(a.shard(), false, null, 0, null);
    } else if (action instanceof Action.WriteShard a) {
      return new Event.ShardWritten(a.shard(), a.record().epoch(), unknown, 0);
    } else if (action instanceof Action.LogClaims a) {
      return new Event.ClaimsLogged(a.shard(), a.epoch(), a.batch(), unknown);
    } else if (action instanceof Action.WriteAccounts a) {
      return new Event.AccountsWritten(a.seq(), false);
    }
    return new Event.WatchLost();
  }

  /** Returns the virtual time, in microseconds since the epoch. */
  public long now() {
    return time.now();
  }

  /** Plans a change of the run at a virtual time. */
  public void at(long when, Runnable change) {
    time.at(when, change);
  }

  /** Runs until a virtual time. */
  public void runUntil(long when) {
    time.runUntil(when);
  }

  /** Delays every submission by so many microseconds, in place of what the decisions leave out. */
  void setSubmitDelay(long micros) {
    submitDelay = micros;
  }

  /** Declares resources in the store. */
  public void declare(List<ResourceDoc> docs) {
    store.declare(docs);
  }

  /** Submits a job at a host; returns the number of the request. */
  public long submit(int index, JobSpec job) {
    VirtualHost host = hosts.get(index);
    long number = ++requests;
    history.request(new History.Request(number, time.now(), host.name.value(), job));
    time.after(vary(plan.callerMicros()), eventTo(host, new Event.Submitted(number, job)));
    return number;
  }

  /** Asks a host for a ticket; returns the number of the request. */
  public long askTicket(int index) {
    long number = ++requests;
    time.after(SHORTEST_LATENCY, eventTo(hosts.get(index), new Event.TicketAsked(number)));
    return number;
  }

  /** Returns the ticket that answers a request; null if there is none yet. */
  public SubmissionId ticket(long request) {
    return tickets.get(request);
  }

  /** Cancels a submission at a host. */
  public void cancel(int index, SubmissionId id, TeamId team) {
    time.after(plan.callerMicros(), eventTo(hosts.get(index), new Event.CancelAsked(id, team)));
  }

  /** Ends a host's process at once. */
  public void kill(int index) {
    VirtualHost host = hosts.get(index);
    host.running = false;
    for (VirtualHost other : hosts) {
      if (other != host && other.running) {
        time.after(RECONNECT, eventTo(other, new Event.LinkLost(host.name)));
      }
    }
  }

  /** Starts a host again under the same name with empty memory. */
  public void restart(int index) {
    VirtualHost host = hosts.get(index);
    host.boot();
    for (VirtualHost other : hosts) {
      linkUp(host, other);
      linkUp(other, host);
    }
  }

  /** Stops a host's process for a time; what arrives meanwhile is handled afterwards. */
  public void pause(int index, long micros) {
    hosts.get(index).pausedUntil = time.now() + micros;
  }

  /** Tells a host to stop in an orderly way. */
  public void drain(int index) {
    VirtualHost host = hosts.get(index);
    time.after(SHORTEST_LATENCY, eventTo(host, new Event.DrainAsked()));
  }

  /** Tells whether a host has said that nothing is left to do. */
  public boolean isDrained(int index) {
    return hosts.get(index).drained;
  }

  /** Cuts the messages from one host to another; the other way still works. */
  public void cut(int from, int to) {
    VirtualHost a = hosts.get(from);
    VirtualHost b = hosts.get(to);
    cutLinks.add(a.name + ">" + b.name);
    time.after(RECONNECT, eventTo(a, new Event.LinkLost(b.name)));
  }

  /** Ends a cut. */
  public void heal(int from, int to) {
    VirtualHost a = hosts.get(from);
    VirtualHost b = hosts.get(to);
    cutLinks.remove(a.name + ">" + b.name);
    time.after(RECONNECT, () -> linkUp(a, b));
  }

  /** Breaks the connections between two hosts for a moment; what is under way is lost. */
  public void flap(int from, int to) {
    cut(from, to);
    time.after(2 * RECONNECT, () -> heal(from, to));
  }

  /** Cuts a domain off from the store, or ends the cut. */
  public void cutFromStore(String domain, boolean cut) {
    if (cut) {
      cutFromStore.add(domain);
      for (VirtualHost host : hosts) {
        if (host.domain.value().equals(domain)) {
          store.cutWatch(host.ref.toString());
        }
      }
    } else {
      cutFromStore.remove(domain);
    }
  }

  /** Cuts a domain off from all others and from the store, or ends the cut. */
  public void isolate(String domain, boolean isolated) {
    cutFromStore(domain, isolated);
    for (int i = 0; i < hosts.size(); i++) {
      for (int j = 0; j < hosts.size(); j++) {
        boolean inside = hosts.get(i).domain.value().equals(domain);
        if (inside != hosts.get(j).domain.value().equals(domain)) {
          if (isolated) {
            cut(i, j);
          } else {
            heal(i, j);
          }
        }
      }
    }
  }

  /** Ends a worker's process. */
  public void killWorker(String name) {
    workers.get(name).kill();
  }

  /** Starts a worker's process again. */
  public void restartWorker(String name) {
    workers.get(name).restart();
    workerBoots.put(name, time.now());
  }

  VirtualWorker worker(String name) {
    return workers.get(name);
  }

  VirtualStore store() {
    return store;
  }

  /** Makes the store refuse every call, or serve again. */
  public void setStoreDown(boolean down) {
    store.setDown(down);
  }

  /** Loses the replies of the next changes after they took effect. */
  public void loseStoreReplies(int count) {
    store.loseReplies(count);
  }

  /** Returns how many store calls were made. */
  public long storeCalls() {
    return store.calls();
  }

  /** Returns the failure domain of a host. */
  public DomainId domainOf(int index) {
    return hosts.get(index).domain;
  }

  /** Tells whether a host's process runs. */
  public boolean isRunning(int index) {
    return hosts.get(index).running;
  }

  /** Returns how many hosts there are. */
  public int hostCount() {
    return hosts.size();
  }

  /** Returns what happened so far. */
  public History history() {
    return history;
  }
}
