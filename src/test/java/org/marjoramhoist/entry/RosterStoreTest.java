package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramhoist.dispatch.DispatchEvent;
import org.marjoramhoist.dispatch.RosterChange;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.json.JsonText;

/** Reads and writes of the stored roster, against an in-process store stand-in. */
class RosterStoreTest extends StoreFixture {

  private static final long WAIT_MILLIS = 500;
  private static final long TERM = 7;
  private static final WorkerInfo WORKER =
      new WorkerInfo(
          "w", "s", "127.0.0.1:1", "d", new Resources(1, 1, 0), "a", "r", Set.of("a"), false, 1);

  private final ConcurrentLinkedQueue<DispatchEvent> events = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<String> supersededReasons = new ConcurrentLinkedQueue<>();
  private RosterStore roster;

  @BeforeEach
  void createStore() {
    roster =
        new RosterStore(TERM, client, new StoreHealth(), loop, events::add, supersededReasons::add);
  }

  @Test
  void readsWhatWasWritten() throws Exception {
    WorkerInfo worker =
        new WorkerInfo(
            "w-1",
            "reviews",
            "10.0.0.1:80",
            "north",
            new Resources(16_000, 65_536, 2),
            new Resources(32_000, 65_536, 4),
            "a",
            "r-1",
            Set.of("a", "r-1", "ssd"),
            true,
            1_700_000_000_123L,
            0,
            0);
    assertThat(StoredWorker.read(StoredWorker.write(worker))).isEqualTo(worker);
    // The format that earlier versions wrote.
    assertThat(StoredWorker.read(JsonText.of(worker))).isEqualTo(worker);
  }

  /** Its runs may still be running on a worker whose stored entry can't be used. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "null",
        "7",
        "[]",
        "{",
        "{}",
        "{\"id\":\"other\",\"address\":\"127.0.0.1:1\"}",
        "{\"address\":\"127.0.0.1:99999\",\"capacity\":{\"cpuMillis\":1e400}}",
        "{\"capacity\":{\"cpuMillis\":99999999999999999999999999}}"
      })
  void oddItemIsWorkerThatCannotBeCalled(String value) throws InterruptedException {
    store.put("marjoramhoist.roster/0/odd", value);
    store.put("marjoramhoist.roster/0/w", StoredWorker.write(WORKER));
    loop.execute(roster::start);
    Thread.sleep(WAIT_MILLIS);
    assertThat(events).hasSize(1);
    List<WorkerInfo> workers = ((DispatchEvent.RosterLoaded) events.poll()).workers();
    assertThat(workers).hasSize(2);
    assertThat(workers).contains(WORKER);
    WorkerInfo odd = workers.get(workers.indexOf(WORKER) == 0 ? 1 : 0);
    assertThat(odd.id()).isEqualTo("odd");
    assertThat(odd.address()).isEmpty();
    assertThat(odd.capacity()).isEqualTo(new Resources(0, 0, 0));
  }

  @Test
  void readsWorkerThatVersionWithoutLargestCapacityWrote() throws Exception {
    ObjectNode stored = (ObjectNode) JsonText.MAPPER.readTree(StoredWorker.write(WORKER));
    stored.remove("largestCapacity");
    assertThat(StoredWorker.read(stored.toString())).isEqualTo(WORKER);
  }

  /**
   * After a store outage the leader record may be missing because its lease expired. The term must
   * not end, as no other leader is named and the record may be written again.
   */
  @Test
  void missingLeaderRecordDoesNotEndTheTerm() throws InterruptedException {
    loop.execute(() -> roster.write(new RosterChange(1, List.of(WORKER), List.of())));
    Thread.sleep(WAIT_MILLIS);
    assertThat(events).isEmpty();
    assertThat(supersededReasons).isEmpty();
  }
}
