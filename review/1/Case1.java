import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A failure domain is cut off while stored jobs run on its workers, and goes on by itself. */
final class Case1 {

  private static final int ZONES = 4;
  private static final int WORKERS = 8;
  private static final int CUT_MILLIS = 2_800;

  public static void main(String[] args) {
    Lab.run(args[0], Case1::run);
  }

  private static boolean run(Lab lab) throws Exception {
    Network network = lab.useNetwork();
    lab.configure(1, 3);
    for (int i = 0; i < ZONES; i++) {
      lab.startHost("front-" + (char) ('a' + i) + "-1", "osl-" + (char) ('a' + i));
    }
    lab.await("a leader", 20_000, () -> lab.leader() != null);
    lab.sleep(2_000);
    Lab.Host cutOff = lab.follower(ZONES - 2);
    List<String> others =
        lab.hosts.stream().map(Lab.Host::zone).filter(z -> !z.equals(cutOff.zone())).toList();
    for (int i = 0; i < WORKERS; i++) {
      String zone = i < 2 ? cutOff.zone() : others.get(i % others.size());
      lab.startWorker("w" + i, zone, "a", "r1-" + (1 + i / 6), 16_000, 500);
    }
    lab.awaitReady();
    Lab.Host leader = lab.leader();
    lab.log("leader " + leader.name() + ", to be cut off " + cutOff.zone());
    if (leader == cutOff) {
      throw new IllegalStateException("the leader has changed");
    }
    List<String> stored = new ArrayList<>();
    String body =
        "{\"spec\":\"260\",\"steps\":[{\"count\":2,\"cpu\":500,\"memMb\":64,\"estimateMs\":260}]}";
    for (int i = 0; i < 40; i++) {
      String id = String.format("%016x", 0xc600 + i);
      stored.add(id);
      lab.callLater(leader, "POST", Lab.PREFIX + id, body, 10_000);
      lab.sleep(25);
    }
    if (lab.trouble) {
      lab.log("CUT of " + cutOff.zone());
      network.cut(cutOff.zone());
    }
    long cutAt = lab.now();
    String effort =
        "{\"spec\":\"1200\",\"bestEffort\":true,\"steps\":[{\"count\":4,\"cpu\":500,\"memMb\":64,"
            + "\"estimateMs\":1200}]}";
    int number = 0;
    while (lab.now() < cutAt + CUT_MILLIS) {
      lab.callLater(
          cutOff, "POST", Lab.PREFIX + String.format("%016x", 0xd600 + number++), effort, 10_000);
      lab.sleep(200);
    }
    if (lab.trouble) {
      network.cut(null);
      lab.log("HEALED");
    }
    lab.sleep(8_000);
    for (String id : stored) {
      lab.call(lab.hosts.get(0), "GET", Lab.PREFIX + id, null, 5_000);
    }
    return judge(lab, stored);
  }

  private static boolean judge(Lab lab, List<String> stored) {
    int broken = 0;
    for (String id : stored) {
      Map<String, Lab.Event> done = new HashMap<>();
      for (Lab.Event end : lab.of(id, "end")) {
        if (end.detail().endsWith("how=done")) {
          done.put(end.worker() + " " + end.run(), end);
        }
      }
      for (Lab.Event seen : lab.of(id, "seen")) {
        Lab.Event end = done.get(seen.worker() + " " + seen.run());
        if (end == null || !seen.detail().endsWith("lapsed=false")) {
          continue;
        }
        String task = end.detail().split(" ")[0];
        for (Lab.Event start : lab.of(id, "start")) {
          if (start.detail().startsWith(task + " ") && start.at() > end.at() + 10) {
            broken++;
            lab.log(
                "TWICE: " + end.run() + " ended done on " + end.worker() + ", noted "
                    + (seen.at() - end.at()) + " ms later without a lapse of its lease; started as "
                    + start.run() + " on " + start.worker() + " " + (start.at() - end.at())
                    + " ms after that end");
          }
        }
      }
    }
    lab.log("tasks started after a run had ended done: " + broken);
    return broken == 0;
  }
}
