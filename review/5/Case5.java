import java.util.List;

/** A host that is cut off from the other hosts leads workers that the partition's leader uses. */
final class Case5 {

  private static final int ZONES = 4;
  private static final int WORKERS = 8;
  private static final int PLACES = 8;
  private static final long CUT_MILLIS = 5_000;

  public static void main(String[] args) {
    Lab.run(args[0], Case5::run);
  }

  private static boolean run(Lab lab) throws Exception {
    lab.cutsHosts = true;
    lab.guards = false;
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
      lab.startWorker("w" + i, zone, "a", "r1-" + (1 + i / 6), 16_000, 16_000 / PLACES);
    }
    lab.awaitReady();
    for (String worker : lab.workers.keySet()) {
      lab.command(worker, "unguarded");
    }
    Lab.Host leader = lab.leader();
    if (leader == cutOff) {
      throw new IllegalStateException("the leader has changed");
    }
    if (lab.trouble) {
      lab.log("CUT of " + cutOff.name());
      network.cut(cutOff.name());
    }
    final long cutAt = lab.now();
    for (int i = 0; lab.now() < cutAt + CUT_MILLIS; i++) {
      String effort = String.format("%016x", 0xd600 + i);
      lab.callLater(cutOff, "POST", Lab.PREFIX + effort, job(PLACES, true), 10_000);
      lab.sleep(300);
      String stored = String.format("%016x", 0xc600 + i);
      lab.callLater(leader, "POST", Lab.PREFIX + stored, job(WORKERS * PLACES, false), 10_000);
      lab.sleep(700);
    }
    network.cut(null);
    lab.log("HEALED");
    lab.sleep(4_000);
    int over = lab.find(event -> event.what().equals("over")).size();
    lab.log("starts that brought a worker over its capacity: " + over);
    return over == 0;
  }

  private static String job(int tasks, boolean bestEffort) {
    return "{\"spec\":\"1500\","
        + (bestEffort ? "\"bestEffort\":true," : "")
        + "\"steps\":[{\"count\":"
        + tasks
        + ",\"cpu\":2000,\"memMb\":64,\"estimateMs\":1500}]}";
  }
}
