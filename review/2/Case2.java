import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A client behind a cut loses its connection and sends its job again, to a host outside the cut. */
final class Case2 {

  private static final int ZONES = 4;
  private static final int WORKERS = 8;
  private static final long CUT_MILLIS = 5_500;
  private static final long RESEND_MILLIS = 1_300;
  private static final String USUAL_JOB = "00000000000000a2";
  private static final String PATIENT_JOB = "00000000000000b2";

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
    if (lab.trouble) {
      lab.log("CUT of " + cutOff.zone());
      network.cut(cutOff.zone());
    }
    final long cutAt = lab.now();
    lab.sleep(1_500);
    // The deadline of this site's clients, and one of clients that wait longer.
    CompletableFuture<Void> usual =
        CompletableFuture.runAsync(
            () -> sendTwice(lab, cutOff, outside, USUAL_JOB, 1_800, 1_200, 1_500, 100));
    CompletableFuture<Void> patient =
        CompletableFuture.runAsync(
            () -> sendTwice(lab, cutOff, outside, PATIENT_JOB, 3_000, 3_000, 10_000, 700));
    usual.get();
    patient.get();
    lab.sleep(cutAt + CUT_MILLIS - lab.now());
    network.cut(null);
    lab.log("HEALED");
    lab.sleep(5_000);
    boolean usualHeld = judge(lab, USUAL_JOB);
    boolean patientHeld = judge(lab, PATIENT_JOB);
    return usualHeld && patientHeld;
  }

  /** Sends a job to one host, resets the connection, and sends it to another resendMs later. */
  private static void sendTwice(
      Lab lab,
      Lab.Host first,
      Lab.Host second,
      String job,
      long taskMillis,
      long estimateMillis,
      long deadlineMillis,
      long resetAfterMillis) {
    String path = Lab.PREFIX + job;
    String body =
        "{\"spec\":\""
            + taskMillis
            + "\",\"bestEffort\":true,\"steps\":[{\"count\":2,\"cpu\":500,\"memMb\":64,"
            + "\"estimateMs\":"
            + estimateMillis
            + "}]}";
    try (Proxy proxy = new Proxy(first.front())) {
      Lab.Host viaProxy =
          new Lab.Host(
              first.name(),
              first.zone(),
              proxy.port(),
              first.ready(),
              first.process(),
              first.command());
      lab.callLater(viaProxy, "POST", path, body, deadlineMillis);
      lab.sleep(resetAfterMillis);
      // With and without the cut the connection is reset and the job sent again resendMs later.
      lab.log("RESET of the connection of the client of " + job + " to " + first.name());
      proxy.resetAll();
      lab.sleep(RESEND_MILLIS);
      lab.callLater(second, "POST", path, body, deadlineMillis);
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns whether no two runs of a task were at work at the same time. */
  private static boolean judge(Lab lab, String job) {
    List<Lab.Event> starts = lab.of(job, "start");
    if (starts.isEmpty()) {
      throw new IllegalStateException("the job did not run");
    }
    List<String> found = new ArrayList<>();
    for (Lab.Event first : starts) {
      long endedAt =
          lab.of(job, "end").stream()
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
