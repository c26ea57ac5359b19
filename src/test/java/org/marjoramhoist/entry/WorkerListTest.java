package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.platform.KeyValueClient.Item;

/** Lists of workers with an odd entry among them. */
class WorkerListTest {

  private static final String ENTRY =
      "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"d\",\"state\":\"ready\","
          + "\"capacity\":{\"cpu\":1,\"memMb\":1},\"labels\":[]}";

  private final NodeMetrics metrics = new NodeMetrics();
  private final WorkerList list = new WorkerList(metrics);

  private static Item item(String id, String value) {
    return new Item("servers/" + id, value, 1);
  }

  private double logged() {
    return metrics
        .scrape()
        .lines()
        .filter(line -> line.contains("WORKER_ENTRY_INVALID"))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' '))))
        .sum();
  }

  @Test
  void oddEntryIsLoggedOnceForEachContentAndLeavesOthers() {
    for (int i = 0; i < 3; i++) {
      List<WorkerInfo> workers =
          list.read(List.of(item("a", ENTRY), item("odd", "{"), item("b", ENTRY)));
      assertThat(workers.stream().map(WorkerInfo::id)).containsExactly("a", "b");
    }
    assertThat(logged()).isEqualTo(1);
    assertThat(list.read(List.of(item("odd", "[]"), item("b", null)))).isEmpty();
    assertThat(logged()).isEqualTo(3);
    assertThat(list.read(List.of(item("odd", ENTRY)))).hasSize(1);
    assertThat(list.read(List.of(item("odd", "[]")))).isEmpty();
    assertThat(logged()).isEqualTo(4);
  }

  /** The store refuses longer keys and values, and with them the whole change of the roster. */
  @Test
  void largestEntryFitsIntoTheRoster() throws Exception {
    String id = "x".repeat(128);
    String text = Character.toString(0x1F600).repeat(127);
    StringBuilder labels = new StringBuilder();
    for (int i = 0; i < 64; i++) {
      labels.append(i == 0 ? "\"" : ",\"").append(i + 10).append(text).append('"');
    }
    String entry =
        ENTRY
            .replace("\"s\"", "\"" + text + "\"")
            .replace("\"d\"", "\"" + text + "\"")
            .replace("[]", "[" + labels + "]");
    List<WorkerInfo> workers = list.read(List.of(item(id, entry)));
    assertThat(workers).hasSize(1);
    assertThat(StoredWorker.write(workers.get(0)).length()).isLessThan(64 * 1024);
    assertThat(StoredWorker.read(StoredWorker.write(workers.get(0)))).isEqualTo(workers.get(0));
    assertThat(("marjoramhoist.roster/0/" + id).length()).isAtMost(200);
  }

  @Test
  void sumsOverManyWorkersStayInRange() {
    String most = ENTRY.replace("\"cpu\":1,\"memMb\":1", "\"cpu\":1073741824,\"memMb\":1073741824");
    WorkerInfo largest = list.read(List.of(item("a", most))).get(0);
    Resources sum = new Resources(0, 0, 0);
    for (int i = 0; i < 100_000; i++) {
      sum = sum.plus(largest.capacity());
    }
    assertThat(sum.cpuMillis())
        .isEqualTo(Math.multiplyExact(100_000, largest.capacity().cpuMillis()));
  }
}
