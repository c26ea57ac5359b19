import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A request with the ID of a cancelled job arrives once more, seconds after its 2xx response. */
final class Case3 {

  private static final int WORKERS = 8;
  private static final int STEPS = 25;
  private static final long REPEAT_MILLIS = 2_000;
  private static final String JOB = "00000000000000a3";

  public static void main(String[] args) {
    Lab.run(args[0], Case3::run);
  }

  static String steps(int count, int millis) {
    StringBuilder steps = new StringBuilder();
    for (int i = 0; i < count; i++) {
      steps
          .append(i == 0 ? "" : ",")
          .append("{\"count\":1,\"cpu\":500,\"memMb\":64,\"estimateMs\":" + millis)
          .append(i == 0 ? "}" : ",\"after\":[" + (i - 1) + "]}");
    }
    return "{\"spec\":\"" + millis + "\",\"bestEffort\":true,\"steps\":[" + steps + "]}";
  }

  private static boolean run(Lab lab) throws Exception {
    lab.configure(1, 3);
    for (int i = 0; i < WORKERS; i++) {
      lab.startWorker(
          "w" + i,
          "osl-" + (char) ('a' + i % 4),
          i % 3 == 2 ? "b" : "a",
          "r1-" + (1 + i / 6),
          16_000,
          500);
    }
    lab.startHosts(3);
    String path = Lab.PREFIX + JOB;
    Lab.Host first = lab.follower(0);
    Lab.Host second = lab.follower(1);
    String body = steps(STEPS, 400);
    CompletableFuture<Lab.Answer> submitted = lab.callLater(first, "POST", path, body, 25_000);
    lab.sleep(1_000);
    Lab.Answer cancelled = lab.call(second, "DELETE", path, null, 5_000);
    long acknowledgedAt = lab.now();
    boolean acknowledged = cancelled.status() / 100 == 2 || cancelled.status() == 410;
    Lab.Answer answer = submitted.get();
    if (answer.status() != 200) {
      throw new IllegalStateException("the client got no 2xx response");
    }
    if (lab.trouble) {
      // The request with the same ID that arrives seconds after the 2xx response.
      lab.sleep(REPEAT_MILLIS);
      lab.callLater(second, "POST", path, body, 25_000);
    }
    lab.sleep(12_000);
    return judge(lab, acknowledged, acknowledgedAt, JOB);
  }

  /** Returns whether nothing of a job was started later than cancel_ms after its cancelling. */
  static boolean judge(Lab lab, boolean acknowledged, long acknowledgedAt, String job) {
    if (!acknowledged) {
      throw new IllegalStateException("the cancelling was not acknowledged");
    }
    List<Lab.Event> late =
        lab.of(job, "start").stream()
            .filter(start -> start.at() > acknowledgedAt + Lab.CANCEL_MILLIS)
            .toList();
    lab.log(
        "tasks started later than cancel_ms after the acknowledgement: "
            + late.size()
            + (late.isEmpty()
                ? ""
                : ", the last "
                    + (late.get(late.size() - 1).at() - acknowledgedAt)
                    + " ms after it"));
    return late.isEmpty();
  }
}
