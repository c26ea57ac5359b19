package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.HostMessage.DrainCopy;
import org.marjoramhoist.message.HostMessage.DrainQuery;
import org.marjoramhoist.platform.KeyValueClient.Change;
import org.marjoramhoist.platform.KeyValueClient.Item;

/** Updates of the set of drained domains by the store watch and by other hosts. */
class DrainedDomainsTest extends StoreFixture {

  private static final String PREFIX = "op/evacuate/";

  private final DrainedDomains drained = new DrainedDomains();
  private final List<HostMessage> sent = new ArrayList<>();

  private void put(String domain, long revision) {
    drained.changed(new Change(new Item(PREFIX + domain, "{}", revision)));
  }

  private void delete(String domain, long revision) {
    drained.changed(new Change(new Item(PREFIX + domain, null, revision)));
  }

  private void receiveCopy(long revision, String... domains) {
    drained.handleMessage(new DrainCopy(revision, Set.of(domains)), sent::add);
  }

  private Set<String> current() {
    return drained.current().orElseThrow();
  }

  /** If the unknown set were treated as empty, tasks would be started in a drained domain. */
  @Test
  void isUnknownUntilReadFromStoreOrReceivedFromHost() {
    assertThat(drained.current()).isEmpty();
    drained.replaced(List.of(), 0);
    assertThat(current()).isEmpty();
  }

  /** If a key change is missed, a drained domain stays in use or a restored one stays idle. */
  @Test
  void followsTheKeysOfTheStore() {
    drained.replaced(List.of(new Item(PREFIX + "a", "{}", 3), new Item("op/config", "{}", 4)), 10);
    assertThat(current()).containsExactly("a");
    put("b", 11);
    delete("a", 12);
    put("a", 13);
    delete("b", 14);
    assertThat(current()).containsExactly("a");
    drained.replaced(List.of(new Item(PREFIX + "c", "{}", 20)), 21);
    assertThat(current()).containsExactly("c");
  }

  /** All keys that a transaction changes have the same revision. */
  @Test
  void appliesAllChangesOfOneRevision() {
    drained.replaced(List.of(), 10);
    put("a", 11);
    put("b", 11);
    assertThat(current()).containsExactly("a", "b");
  }

  /**
   * The host's own watch may lag behind a set received from another host, and must not revert it.
   */
  @Test
  void olderChangesDoNotRevertNewerSetOfAnotherHost() {
    drained.replaced(List.of(), 10);
    receiveCopy(15);
    put("a", 12);
    assertThat(current()).isEmpty();
    delete("a", 14);
    put("b", 16);
    assertThat(current()).containsExactly("b");
    receiveCopy(13, "a");
    assertThat(current()).containsExactly("b");
    drained.replaced(List.of(), 15);
    assertThat(current()).containsExactly("b");
    drained.replaced(List.of(), 17);
    assertThat(current()).isEmpty();
  }

  /**
   * Without this exchange, a host that is disconnected from the store would never learn of a drain.
   */
  @Test
  void requestsNewerSetAndSendsItsOwn() {
    DrainedDomains other = new DrainedDomains();
    other.replaced(List.of(new Item(PREFIX + "a", "{}", 5)), 7);
    drained.requestIfNewer(other.revision(), sent::add);
    assertThat(sent).containsExactly(new DrainQuery(0));
    List<HostMessage> replies = new ArrayList<>();
    assertThat(other.handleMessage(sent.get(0), replies::add)).isTrue();
    assertThat(drained.handleMessage(replies.get(0), sent::add)).isTrue();
    assertThat(current()).containsExactly("a");
    sent.clear();
    drained.requestIfNewer(other.revision(), sent::add);
    drained.handleMessage(new DrainQuery(7), sent::add);
    assertThat(sent).isEmpty();
  }

  /** A leader that misses a change keeps using a drained domain. */
  @Test
  void notifiesListenersOfTheSetAndItsChangesOnly() {
    List<Set<String>> received = new ArrayList<>();
    drained.replaced(List.of(), 1);
    final Runnable unsubscribe = drained.subscribe(received::add);
    put("a", 2);
    put("a", 3);
    unsubscribe.run();
    delete("a", 4);
    assertThat(received).containsExactly(Set.of(), Set.of("a")).inOrder();
  }

  private void watchStore(BlockingQueue<Set<String>> received) {
    loop.execute(
        () -> {
          drained.subscribe(received::add);
          new PrefixWatch(client, "op/", loop, new StoreHealth(), drained).start();
        });
  }

  /** Waits for a set and skips others that are received before it. */
  private static void await(BlockingQueue<Set<String>> received, String... domains)
      throws InterruptedException {
    Set<String> next;
    do {
      next = received.poll(5, TimeUnit.SECONDS);
      assertThat(next).isNotNull();
    } while (!next.equals(Set.of(domains)));
  }

  /**
   * Changes during a store outage are not contained in later watch replies, so the keys must be
   * read again.
   */
  @Test
  void readsAgainAfterOutageAndLostHistory() throws Exception {
    BlockingQueue<Set<String>> received = new LinkedBlockingQueue<>();
    watchStore(received);
    await(received);
    store.put(PREFIX + "a", "{}");
    await(received, "a");
    store.setDown(true);
    store.put(PREFIX + "b", "{}");
    store.delete(PREFIX + "a");
    store.compact();
    store.setDown(false);
    await(received, "b");
    store.loseReplies(1);
    store.delete(PREFIX + "b");
    await(received);
  }
}
