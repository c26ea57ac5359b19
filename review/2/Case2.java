import java.util.ArrayList;
import java.util.List;

/** A client behind a cut loses its connection and sends its job again, to a host outside the cut. */
final class Case2 {

  private static final int ZONES = 4;
  private static final int WORKERS = 8;
  private static final long CUT_MILLIS = 5_500;
  private static final long RESEND_MILLIS = 1_300;
  private static final String JOB = "00000000000000a2";

  public static void main(String[] args) {
    Lab.run(args[0], Case2::run);
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
    if (leader == cutOff) {
      throw new IllegalStateException("the leader has changed");
    }
    Lab.Host outside =
        lab.hosts.stream().filter(h -> h != cutOff && h != leader).findFirst().orElseThrow();
    String path = Lab.PREFIX + JOB;
    String body =
        "{\"spec\":\"3000\",\"bestEffort\":true,\"steps\":[{\"count\":2,\"cpu\":500,\"memMb\":64,"
            + "\"estimateMs\":3000}]}";
    try (Proxy proxy = new Proxy(cutOff.front())) {
      Lab.Host viaProxy =
          new Lab.Host(
              cutOff.name(),
              cutOff.zone(),
              proxy.port(),
              cutOff.ready(),
              cutOff.process(),
              cutOff.command());
      if (lab.trouble) {
        lab.log("CUT of " + cutOff.zone());
        network.cut(cutOff.zone());
      }
      final long cutAt = lab.now();
      lab.sleep(1_500);
      lab.callLater(viaProxy, "POST", path, body, 10_000);
      lab.sleep(700);
      // With and without the cut the connection is reset and the job sent again resendMs later.
      lab.log("RESET of the client's connection to " + cutOff.name());
      proxy.resetAll();
      lab.sleep(RESEND_MILLIS);
      lab.callLater(outside, "POST", path, body, 10_000);
      lab.sleep(cutAt + CUT_MILLIS - lab.now());
      network.cut(null);
      lab.log("HEALED");
      lab.sleep(5_000);
    }
    return judge(lab);
  }

  /** Returns whether no two runs of a task were at work at the same time. */
  private static boolean judge(Lab lab) {
    List<Lab.Event> starts = lab.of(JOB, "start");
    if (starts.isEmpty()) {
      throw new IllegalStateException("the job did not run");
    }
    List<String> found = new ArrayList<>();
    for (Lab.Event first : starts) {
      long endedAt =
          lab.of(JOB, "end").stream()
              .filter(e -> e.worker().equals(first.worker()) && e.run().equals(first.run()))
              .mapToLong(Lab.Event::at)
              .min()
              .orElse(lab.now());
      for (Lab.Event second : starts) {
        boolean sameTask = second.detail().split(" ")[0].equals(first.detail().split(" ")[0]);
        if (second != first && sameTask && second.at() > first.at() && second.at() < endedAt) {
          found.add(
              "TWICE: " + first.run() + " on " + first.worker() + " was at work for another "
                  + (endedAt - second.at()) + " ms when " + second.run() + " began on "
                  + second.worker());
        }
      }
    }
    found.forEach(lab::log);
    return found.isEmpty();
  }
}
