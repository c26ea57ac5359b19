import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;

/** Random disruptions over random jobs, to look for faults. Arguments: seed, seconds, record, kinds of disruption. */
public final class Fuzz {

  private Fuzz() {}

  public static void main(String[] args) throws Exception {
    long seed = Long.parseLong(args[0]);
    long seconds = Long.parseLong(args[1]);
    Path record = Path.of(args[2]);
    List<String> kinds = args.length > 3 ? List.of(args[3].split(",")) : List.of();
    Random random = new Random(seed);
    Lab lab = new Lab(Integer.getInteger("hosts", 4), 1);
    for (int i = 0; i < 6; i++) {
      lab.addWorker("zone-a", i % 2 == 0 ? "a" : "b", "r-" + i / 2, 8000).beat();
    }
    lab.putConfig(7, true);
    lab.startHosts();
    long end = Judge.now() + seconds * 1000;
    AtomicBoolean stop = new AtomicBoolean();
    List<Thread> clients = new ArrayList<>();
    for (int c = 0; c < 12; c++) {
      Random own = new Random(seed * 100 + c);
      clients.add(Net.thread("client", () -> client(lab, own, end)));
    }
    if (!kinds.isEmpty()) {
      while (Judge.now() < end - 4000) {
        Net.sleep(500 + random.nextInt(3000));
        disrupt(lab, random, kinds.get(random.nextInt(kinds.size())));
      }
    }
    for (Thread each : clients) {
      each.join();
    }
    lab.judge.log("traffic ends");
    lab.store.mode = "ok";
    lab.store.loseReplies = 0;
    lab.store.late = 0;
    for (Worker w : lab.workers) {
      w.cut = false;
      w.stuck = false;
      w.lateStarts = 0;
      if (!w.up) {
        w.restart();
      }
    }
    for (Host h : lab.hosts) {
      if (h.stopped) {
        h.thaw();
      }
      if (!h.process.isAlive()) {
        h.start();
      }
    }
    Net.sleep(14_000);
    for (Judge.Job job : lab.judge.jobs.values()) {
      if (job.bestEffort || job.acceptedAt == 0) {
        continue;
      }
      String state = lab.await(job, 1500);
      if (state.equals("410") && job.cancelSentAt == 0 || state.equals("open")) {
        lab.judge.breaks("LOST", job.id + " is " + state + " at the end, running " + lab.judge.running(job.id));
      }
    }
    lab.finish(record, List.of());
  }

  private static Judge.Job randomJob(Lab lab, Random random) {
    List<Judge.Step> steps = new ArrayList<>();
    int count = 1 + random.nextInt(3);
    for (int s = 0; s < count; s++) {
      List<Integer> after = s > 0 && random.nextBoolean() ? List.of(s - 1) : List.of();
      String label = random.nextInt(3) == 0 ? (random.nextBoolean() ? "a" : "b") : "";
      int max = random.nextInt(4) == 0 ? 1 + random.nextInt(2) : 0;
      steps.add(new Judge.Step(1 + random.nextInt(5), 500 + random.nextInt(1500), 30 + random.nextInt(random.nextInt(4) == 0 ? 1500 : 300),
          random.nextInt(3) == 0 ? 0.1 : 0, after, label, max));
    }
    return lab.newJob(steps, random.nextInt(4) == 0);
  }

  private static Host pick(Lab lab, Random random) {
    return lab.hosts.get(random.nextInt(lab.hosts.size()));
  }

  private static void client(Lab lab, Random random, long end) {
    List<Judge.Job> mine = new ArrayList<>();
    while (Judge.now() < end) {
      Judge.Job job = randomJob(lab, random);
      boolean answered = false;
      for (int i = 0; i < 4 && !answered && Judge.now() < end; i++) {
        Net.Resp r = lab.post(pick(lab, random), job, 1500);
        answered = r.status() == 200 || r.status() == 429 || r.status() == 503;
        if (!answered) {
          Net.sleep(1300);
        }
      }
      mine.add(job);
      if (job.acceptedAt > 0 && !job.bestEffort) {
        if (random.nextInt(6) == 0) {
          Net.sleep(random.nextInt(600));
          Net.Resp r = lab.delete(pick(lab, random), job);
          if (r.status() != 200 && r.status() != 410) {
            Net.sleep(500);
            lab.delete(pick(lab, random), job);
          }
        }
        if (random.nextInt(8) == 0) {
          Judge.Job again = mine.get(random.nextInt(mine.size()));
          if (again.acceptedAt > 0 && !again.bestEffort) {
            lab.post(pick(lab, random), again, 1500);
          }
        }
        Judge.Job asked = mine.get(random.nextInt(mine.size()));
        if (asked.acceptedAt > 0 && !asked.bestEffort) {
          Net.Resp r = lab.get(pick(lab, random), asked);
          if (r.status() == 410 && asked.cancelSentAt == 0 && Judge.now() - asked.acceptedAt > 3000) {
            lab.judge.breaks("LOST", asked.id + " is answered 410");
          }
        }
      }
      Net.sleep(random.nextInt(300));
    }
  }

  private static void disrupt(Lab lab, Random random, String kind) throws Exception {
    Worker worker = lab.workers.get(random.nextInt(lab.workers.size()));
    Host host = random.nextBoolean() ? pick(lab, random) : lab.hosts.stream().filter(Host::leads).findFirst().orElse(pick(lab, random));
    long span = 300 + random.nextInt(3500);
    lab.judge.log("disruption " + kind + " " + host.name + " " + worker.id + " " + span);
    switch (kind) {
      case "kill", "term" -> {
        if (host.process.isAlive() && !host.stopped) {
          if (kind.equals("kill")) {
            host.kill();
          } else {
            host.terminate();
            host.process.waitFor();
          }
          Net.sleep(random.nextInt(1000));
          host.start();
        }
      }
      case "freeze" -> {
        if (host.process.isAlive()) {
          host.freeze();
          Net.sleep(span);
          host.thaw();
        }
      }
      case "crash" -> {
        if (worker.up) {
          worker.crash();
          Net.sleep(random.nextBoolean() ? 50 + random.nextInt(300) : span);
          if (random.nextBoolean()) {
            worker.kind = worker.kind.equals("a") ? "b" : "a";
          }
          worker.restart();
        }
      }
      case "cut" -> {
        worker.cut = true;
        Net.sleep(span);
        worker.cut = false;
        worker.resetConnections();
      }
      case "wreset" -> worker.resetConnections();
      case "late" -> {
        lab.workers.forEach(w -> w.lateStarts = 0.06);
        Net.sleep(span);
        lab.workers.forEach(w -> w.lateStarts = 0);
      }
      case "stuck" -> {
        worker.stuck = true;
        Net.sleep(span);
        worker.stuck = false;
      }
      case "sbusy", "ssilent", "sreset" -> {
        lab.store.mode = kind.substring(1);
        Net.sleep(span);
        lab.store.mode = "ok";
      }
      case "slost" -> {
        lab.store.loseReplies = 0.3;
        Net.sleep(span);
        lab.store.loseReplies = 0;
      }
      case "slate" -> {
        lab.store.late = 0.3;
        Net.sleep(span);
        lab.store.late = 0;
      }
      case "snode" -> {
        lab.store.hostMode.put(host.name, random.nextBoolean() ? "busy" : "silent");
        Net.sleep(span);
        lab.store.hostMode.clear();
      }
      default -> throw new IllegalArgumentException(kind);
    }
  }
}
