package org.marjoramhoist.host;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.model.HostRef;
import org.marjoramhoist.platform.Store;
import org.marjoramhoist.platform.Store.Op;
import org.marjoramhoist.platform.StoreKeys;

/**
 * Registers this host in the store under a lease, and finds the others there.
 *
 * <p>The registry is a hint for finding hosts that the settings do not name; who lives is told by
 * heartbeats alone. Safe for use by several threads.
 */
final class HostRegistry {

  /** The interval at which the lease is renewed, in seconds. */
  static final long RENEW_SECONDS = 5;

  private static final long LEASE_SECONDS = 20;

  /** A registered host. */
  record Registered(HostRef host, String address) {}

  private final Store store;
  private final Registered self;
  private final Consumer<String> dial;
  private final AtomicLong lease = new AtomicLong();
  private final AtomicBoolean busy = new AtomicBoolean();

  HostRegistry(Store store, HostRef self, String address, Consumer<String> dial) {
    this.store = store;
    this.self = new Registered(self, address);
    this.dial = dial;
  }

  /** Renews the lease, or registers anew if it has lapsed. */
  void renew() {
    if (!busy.compareAndSet(false, true)) {
      return;
    }
    long held = lease.get();
    if (held == 0) {
      register();
      return;
    }
    store
        .keepAlive(held)
        .whenComplete(
            (kept, error) -> {
              if (error == null && !kept) {
                lease.set(0);
              }
              busy.set(false);
            });
  }

  private void register() {
    store
        .grantLease(LEASE_SECONDS)
        .thenCompose(
            granted -> {
              lease.set(granted);
              String key = StoreKeys.HOSTS + self.host().host();
              return store.txn(
                  List.of(),
                  List.of(
                      new Op.Put(key, JsonText.of(self), granted),
                      new Op.Read(StoreKeys.HOSTS, Store.prefixRangeEnd(StoreKeys.HOSTS))));
            })
        .whenComplete(
            (result, error) -> {
              if (error == null) {
                result.reads().get(0).entries().forEach(this::dialOther);
              } else {
                lease.set(0);
              }
              busy.set(false);
            });
  }

  private void dialOther(Store.Entry entry) {
    try {
      Registered other = JsonText.MAPPER.readValue(entry.value(), Registered.class);
      if (!other.host().host().equals(self.host().host())) {
        dial.accept(other.address());
      }
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("registered host can't be read: " + entry.key(), e);
    }
  }
}
