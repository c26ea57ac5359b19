package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramhoist.platform.KeyValueClient.Change;
import org.marjoramhoist.platform.KeyValueClient.Item;

/** A watch after a change that a listener can't handle. */
class PrefixWatchTest extends StoreFixture {

  private static final long TIMEOUT_MILLIS = 5_000;

  private final Set<String> seen = ConcurrentHashMap.newKeySet();

  /** Fails at one key, and records the others. */
  private final class Recorder implements PrefixWatch.Listener {
    private final String odd;
    private final Error error;

    Recorder(String odd, Error error) {
      this.odd = odd;
      this.error = error;
    }

    @Override
    public void replaced(List<Item> items, long revision) {
      items.forEach(this::record);
    }

    @Override
    public void changed(Change change) {
      record(change.item());
    }

    private void record(Item item) {
      if (item.key().equals(odd)) {
        if (error != null) {
          throw error;
        }
        throw new IllegalStateException("a test");
      }
      seen.add(item.key() + " " + System.identityHashCode(this));
    }
  }

  private void startWatch(Recorder... recorders) {
    PrefixWatch watch = new PrefixWatch(client, "p/", loop, new StoreHealth(), recorders);
    loop.execute(watch::start);
  }

  private void awaitSeen(String key, Recorder recorder) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    while (!seen.contains(key + " " + System.identityHashCode(recorder))) {
      assertThat(System.nanoTime()).isLessThan(deadline);
      Thread.sleep(10);
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void watchGoesOnAfterOddChange(boolean isError) throws InterruptedException {
    Error error = isError ? new StackOverflowError("a test") : null;
    Recorder failing = new Recorder("p/odd", error);
    Recorder other = new Recorder("", null);
    store.put("p/first", "1");
    startWatch(failing, other);
    awaitSeen("p/first", failing);
    store.put("p/odd", "1");
    awaitSeen("p/odd", other);
    store.put("p/later", "1");
    awaitSeen("p/later", failing);
    awaitSeen("p/later", other);
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void watchStartsWithOddItem(boolean isError) throws InterruptedException {
    Error error = isError ? new StackOverflowError("a test") : null;
    Recorder failing = new Recorder("p/odd", error);
    Recorder other = new Recorder("", null);
    store.put("p/odd", "1");
    startWatch(failing, other);
    awaitSeen("p/odd", other);
    store.put("p/later", "1");
    awaitSeen("p/later", failing);
  }
}
