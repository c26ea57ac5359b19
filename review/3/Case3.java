import java.util.List;

/** A run ends `failed` on the only worker that has the label which its task needs. */
final class Case3 {

  private static final int WORKERS = 13;
  private static final int WORKERS_PER_RACK = 6;
  private static final long WATCH_MILLIS = 10_000;
  private static final long IDLE_MILLIS = 3_000;
  private static final String JOB = "00000000000000a1";
  private static final String OTHER = "00000000000000b1";

  public static void main(String[] args) {
    Lab.run(args[0], Case3::run);
  }

  private static boolean run(Lab lab) throws Exception {
    lab.configure(1, 3);
    for (int i = 0; i < WORKERS; i++) {
      String rack = "r1-" + (1 + i / WORKERS_PER_RACK);
      lab.startWorker(
          "w" + i, "osl-" + (char) ('a' + i % 3), i % 3 == 2 ? "b" : "a", rack, 16_000, 500);
    }
    lab.startHosts(3);
    String alone = "w" + (WORKERS - 1);
    if (lab.trouble) {
      // One run of one of 13 workers fails; the worker is sound before and after.
      lab.command(alone, "fail 1");
    }
    String path = Lab.PREFIX + JOB;
    String body =
        "{\"spec\":\"300\",\"steps\":[{\"count\":1,\"cpu\":500,\"memMb\":64,\"estimateMs\":300,"
            + "\"requiredLabel\":\"r1-3\"}]}";
    Lab.Answer accepted = lab.call(lab.follower(0), "POST", path, body, 5_000);
    if (accepted.status() != 200) {
      throw new IllegalStateException("the job was not accepted");
    }
    // Another job of the same kind shows that the worker is sound and has room.
    lab.sleep(2_000);
    Lab.Answer other = lab.call(lab.follower(1), "POST", Lab.PREFIX + OTHER, body, 5_000);
    if (other.status() != 200) {
      throw new IllegalStateException("the other job was not accepted");
    }
    // The end of the traffic; finish_s later the job is asked for.
    lab.sleep(Lab.FINISH_MILLIS);
    final long askedAt = lab.now();
    for (Lab.Host host : lab.hosts) {
      lab.call(host, "GET", path, null, 5_000);
    }
    // Then it is watched for another 10 s; 3 s with nothing running break the rule.
    lab.sleep(WATCH_MILLIS);
    final long until = lab.now();
    Lab.Answer last = lab.call(lab.follower(0), "GET", path, null, 5_000);
    List<Lab.Event> starts = lab.of(JOB, "start");
    List<Lab.Event> ends = lab.of(JOB, "end");
    boolean done = ends.stream().anyMatch(end -> end.detail().endsWith("how=done"));
    lab.call(lab.follower(0), "GET", Lab.PREFIX + OTHER, null, 5_000);
    lab.log("starts=" + starts.size() + " ends=" + ends.size() + " last state=" + last);
    if (done && ends.get(ends.size() - 1).at() <= askedAt) {
      return last.body().contains("succeeded");
    }
    long idleUntil =
        starts.stream()
            .mapToLong(Lab.Event::at)
            .filter(start -> start > askedAt)
            .min()
            .orElse(until);
    long idle = idleUntil - askedAt;
    lab.log("from then on nothing of the job ran for " + idle + " ms or more");
    return idle < IDLE_MILLIS;
  }
}
