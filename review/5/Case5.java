import java.util.List;
import java.util.stream.IntStream;

/** The only worker that may run some jobs rejects orders for a time, as it is unhealthy. */
final class Case5 {

  private static final int WORKERS = 13;
  private static final int JOBS = 20;
  private static final long UNHEALTHY_MILLIS = 6_500;

  public static void main(String[] args) {
    Lab.run(args[0], Case5::run);
  }

  private static String id(int number) {
    return String.format("%016x", 0xb500 + number);
  }

  private static boolean run(Lab lab) throws Exception {
    lab.configure(1, 3);
    for (int i = 0; i < WORKERS; i++) {
      lab.startWorker(
          "w" + i,
          "osl-" + (char) ('a' + i % 3),
          i % 3 == 2 ? "b" : "a",
          "r1-" + (1 + i / 6),
          16_000,
          500);
    }
    lab.startHosts(3);
    String worker = "w" + (WORKERS - 1);
    if (lab.trouble) {
      lab.command(worker, "refuse");
    }
    final long unhealthySince = lab.now();
    String body =
        "{\"spec\":\"300\",\"steps\":[{\"count\":1,\"cpu\":500,\"memMb\":64,\"estimateMs\":300,"
            + "\"requiredLabel\":\"r1-3\"}]}";
    for (int i = 0; i < JOBS; i++) {
      Lab.Answer answer = lab.call(lab.follower(i % 2), "POST", Lab.PREFIX + id(i), body, 5_000);
      if (answer.status() != 200) {
        throw new IllegalStateException("a job was not accepted");
      }
    }
    long acceptedAt = lab.now();
    // visible_ms + 2 s after the last acknowledgement each job that has not begun has to count.
    lab.sleep(acceptedAt + Lab.VISIBLE_MILLIS + 2_000 + 300 - lab.now());
    boolean held = true;
    for (Lab.Host host : lab.hosts) {
      long waitingJobs =
          IntStream.range(0, JOBS).filter(i -> lab.of(id(i), "start").isEmpty()).count();
      Lab.Answer answer = lab.call(host, "GET", Lab.PREFIX, null, 5_000);
      long shown = Json.number(Json.object(answer.body()), "waiting");
      lab.log(
          host.name() + ": accepted jobs that have not begun " + waitingJobs + ", shown " + shown);
      held &= 2 * shown >= waitingJobs;
    }
    lab.sleep(unhealthySince + UNHEALTHY_MILLIS - lab.now());
    if (lab.trouble) {
      lab.command(worker, "accept");
    }
    lab.sleep(4_000);
    List<String> states =
        IntStream.range(0, JOBS)
            .mapToObj(i -> lab.call(lab.hosts.get(0), "GET", Lab.PREFIX + id(i), null, 5_000).body())
            .distinct()
            .toList();
    lab.log("states at the end: " + states);
    return held;
  }
}
