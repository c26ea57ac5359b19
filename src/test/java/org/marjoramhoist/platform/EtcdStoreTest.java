package org.marjoramhoist.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.http.HttpCaller;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.platform.Store.Condition;
import org.marjoramhoist.platform.Store.Op;
import org.marjoramhoist.standin.StoreStandIn;

class EtcdStoreTest {

  private static final int UNLIMITED_CALLS_PER_SECOND = 10_000;
  private static final long TIMEOUT_SECONDS = 10;

  private final StoreStandIn standIn = new StoreStandIn("127.0.0.1:0");
  private final EtcdStore store = newStore(UNLIMITED_CALLS_PER_SECOND);

  private EtcdStore newStore(int callsPerSecond) {
    return new EtcdStore(List.of(standIn.address()), new HttpCaller("test", 1), callsPerSecond);
  }

  @AfterEach
  void stop() {
    store.close();
    standIn.close();
  }

  private Store.TxnResult put(String key, String value, long expected) throws Exception {
    return store
        .txn(List.of(new Condition(key, expected)), List.of(new Op.Put(key, value, 0)))
        .get();
  }

  private String valueOf(String key) throws Exception {
    List<Store.Entry> entries = store.range(key, key + '\0').get().entries();
    return entries.isEmpty() ? null : entries.get(0).value();
  }

  @Test
  void txnRequiresExpectedRevision() throws Exception {
    Store.TxnResult created = put("/a", "1", 0);
    assertThat(created.committed()).isTrue();
    assertThat(put("/a", "2", 0).committed()).isFalse();
    assertThat(put("/a", "2", created.revision()).committed()).isTrue();
    assertThat(valueOf("/a")).isEqualTo("2");
  }

  @Test
  void lostReplyMayHaveTakenEffect() throws Exception {
    standIn.loseReplies(1);
    ExecutionException error = assertThrows(ExecutionException.class, () -> put("/lost", "1", 0));
    StoreException failure = (StoreException) error.getCause();
    assertThat(failure.mayHaveTakenEffect()).isTrue();
    assertThat(valueOf("/lost")).isEqualTo("1");
  }

  @Test
  void failsWhileStoreIsDownAndRecovers() throws Exception {
    standIn.setDown(true);
    assertThrows(ExecutionException.class, () -> valueOf("/a"));
    standIn.setDown(false);
    assertThat(valueOf("/a")).isNull();
  }

  @Test
  void failsWhenStoreIsTooSlow() {
    standIn.setSlow(3_000);
    assertThrows(ExecutionException.class, () -> valueOf("/a"));
  }

  /** Records each change and the end of the watch as text. */
  private record RecordingListener(Collection<String> events) implements Store.WatchListener {
    @Override
    public void changed(long revision, List<Store.Change> changes) {
      changes.forEach(change -> events.add(textOf(change)));
    }

    @Override
    public void ended() {
      events.add("end");
    }

    private static String textOf(Store.Change change) {
      return change instanceof Store.Change.Put put
          ? put.key() + "=" + put.entry().value()
          : "-" + change.key();
    }
  }

  @Test
  void watchReceivesChangesAndItsEnd() throws Exception {
    BlockingQueue<String> events = new LinkedBlockingQueue<>();
    put("/w/old", "0", 0);
    store.watch("/w/", 0, new RecordingListener(events));
    Thread.sleep(200);
    put("/w/a", "1", 0);
    put("/other", "1", 0);
    store.txn(List.of(), List.of(new Op.Delete("/w/a", "/w/b"))).get();
    assertThat(events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("/w/a=1");
    assertThat(events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("-/w/a");
    standIn.setDown(true);
    assertThat(events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("end");
  }

  @Test
  void deliversPutAndDeletionOfSameKeyInOrder() throws Exception {
    String put = "{\"kv\":{\"key\":\"YQ==\",\"value\":\"MQ==\",\"mod_revision\":\"7\"}}";
    String deletion = "{\"type\":\"DELETE\",\"kv\":{\"key\":\"YQ==\",\"mod_revision\":\"8\"}}";
    String message =
        "{\"result\":{\"header\":{\"revision\":\"8\"},\"events\":[" + put + "," + deletion + "]}}";
    List<String> events = new ArrayList<>();
    EtcdJson.deliverEvents(JsonText.MAPPER.readTree(message), new RecordingListener(events));
    assertThat(events).containsExactly("a=1", "-a").inOrder();
  }

  @Test
  void deletesKeysOfExpiredLeases() throws Exception {
    long lease = store.grantLease(1).get();
    store.txn(List.of(), List.of(new Op.Put("/leased", "1", lease))).get();
    assertThat(store.keepAlive(lease).get()).isTrue();
    Thread.sleep(1_500);
    assertThat(valueOf("/leased")).isNull();
    assertThat(store.keepAlive(lease).get()).isFalse();
  }

  @Test
  void limitsCallsToBudget() {
    int sent = 0;
    try (EtcdStore limited = newStore(5)) {
      for (int i = 0; i < 50; i++) {
        sent += limited.range("/a", "/b").isCompletedExceptionally() ? 0 : 1;
      }
    }
    assertThat(sent).isAtMost(11);
  }

  @Test
  void refillsBudgetOverTime() {
    AtomicLong nanos = new AtomicLong();
    CallBudget budget = new CallBudget(10, nanos::get);
    assertThat(budget.tryAcquire()).isTrue();
    nanos.addAndGet(TimeUnit.SECONDS.toNanos(10));
    int granted = 0;
    while (budget.tryAcquire()) {
      granted++;
    }
    assertThat(granted).isEqualTo(20);
    nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(100));
    assertThat(budget.tryAcquire()).isTrue();
    assertThat(budget.tryAcquire()).isFalse();
  }
}
