package org.marjoramhoist.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.marjoramhoist.http.HttpCall;
import org.marjoramhoist.http.HttpCaller;
import org.marjoramhoist.http.HttpException;
import org.marjoramhoist.http.HttpReply;
import org.marjoramhoist.json.JsonText;

/**
 * The client of the platform's key-value store.
 *
 * <p>Futures fail with {@link StoreException}, which tells whether a change may have taken effect.
 * They complete on an I/O thread. Safe for use by several threads.
 */
public final class KeyValueClient {

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int GONE = 410;
  private static final int CONFLICT = 412;
  private static final int TOO_MANY = 429;
  private static final int UNAVAILABLE = 503;

  private final String address;
  private final HttpCaller caller;
  private final long timeoutNanos;

  /**
   * Creates a client.
   *
   * @param address {@code host:port} of the store
   * @param caller sends the calls
   * @param timeoutMillis how long a call may take, in milliseconds, beside the wait of a watch
   */
  public KeyValueClient(String address, HttpCaller caller, long timeoutMillis) {
    this.address = address;
    this.caller = caller;
    this.timeoutNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
  }

  /**
   * A stored key.
   *
   * @param key the key
   * @param value the value
   * @param revision the revision of its last change
   */
  public record Item(String key, String value, long revision) {}

  /** Items under a prefix; more follow if the page is full. */
  public record Page(List<Item> items, boolean hasMore, long revision) {}

  /**
   * One change under a watched prefix.
   *
   * @param item the key with its new value; the value is null if the key was deleted
   */
  public record Change(Item item) {
    /** Tells whether the key was deleted. */
    public boolean isDeletion() {
      return item.value() == null;
    }
  }

  /**
   * What a watch heard.
   *
   * @param compacted whether changes may have been missed, so that all must be read again
   * @param changes the changes in their order
   * @param revision the revision to go on from
   */
  public record WatchReply(boolean compacted, List<Change> changes, long revision) {}

  /** A condition: the key's last change has this revision; 0 if the key is absent. */
  public record Condition(String key, long revision) {}

  /** A key to be set; a lease of 0 means none. */
  public record Put(String key, String value, long lease) {}

  /**
   * What became of a transaction.
   *
   * @param committed whether the conditions held and the changes took effect
   * @param revision the revision of the changes; 0 if they were not made
   * @param current the keys of the conditions as they are, if these did not hold
   */
  public record TxnReply(boolean committed, long revision, List<Item> current) {}

  /** Reads one page of the items under a prefix. */
  public CompletableFuture<Page> range(String prefix, String after) {
    String path = "/v1/kv-range?prefix=" + escape(prefix);
    if (!after.isEmpty()) {
      path += "&after=" + escape(after);
    }
    return call("GET", path, "", 0, false, KeyValueClient::readPage);
  }

  /** Reads all items under a prefix; the pages are not one snapshot. */
  public CompletableFuture<Page> readAll(String prefix) {
    return readFrom(prefix, "", new ArrayList<>(), 0);
  }

  private CompletableFuture<Page> readFrom(
      String prefix, String after, List<Item> items, long firstAsOf) {
    return range(prefix, after)
        .thenCompose(
            page -> {
              items.addAll(page.items());
              long asOf = firstAsOf == 0 ? page.revision() : firstAsOf;
              if (!page.hasMore() || page.items().isEmpty()) {
                return CompletableFuture.completedFuture(new Page(items, false, asOf));
              }
              String last = page.items().get(page.items().size() - 1).key();
              return readFrom(prefix, last, items, asOf);
            });
  }

  /** Waits for changes under a prefix after a revision, up to a time in milliseconds. */
  public CompletableFuture<WatchReply> watch(String prefix, long after, long waitMillis) {
    String path =
        "/v1/kv-watch?prefix=" + escape(prefix) + "&after=" + after + "&waitMs=" + waitMillis;
    return call("GET", path, "", waitMillis, false, KeyValueClient::readWatch);
  }

  /** Makes changes, all or none, if every condition holds. */
  public CompletableFuture<TxnReply> txn(
      List<Condition> conditions, List<Put> puts, List<String> deletes) {
    ObjectNode body = JsonText.MAPPER.createObjectNode();
    ArrayNode expected = body.putArray("expectedRev");
    for (Condition condition : conditions) {
      expected.addObject().put("key", condition.key()).put("revision", condition.revision());
    }
    ArrayNode sets = body.putArray("puts");
    for (Put put : puts) {
      byte[] value = put.value().getBytes(StandardCharsets.UTF_8);
      ObjectNode set = sets.addObject();
      set.put("key", put.key());
      set.put("value", Base64.getEncoder().encodeToString(value));
      if (put.lease() != 0) {
        set.put("lease", put.lease());
      }
    }
    ArrayNode drops = body.putArray("deletes");
    deletes.forEach(drops::add);
    return call("POST", "/v1/kv-txn", body.toString(), 0, true, KeyValueClient::readTxn);
  }

  /** Grants a lease and yields its id. */
  public CompletableFuture<Long> grantLease(long ttlMillis) {
    String body = "{\"ttlMs\":" + ttlMillis + "}";
    return call(
        "POST", "/v1/kv-lease", body, 0, true, reply -> node(reply, OK).path("lease").asLong());
  }

  /** Renews a lease; yields whether it was still held. */
  public CompletableFuture<Boolean> keepAlive(long lease) {
    return call(
        "POST",
        "/v1/kv-keep/" + lease,
        "",
        0,
        false,
        reply -> {
          if (reply.status() == NOT_FOUND) {
            return false;
          }
          node(reply, OK);
          return true;
        });
  }

  /** Ends a lease; its keys are removed. */
  public CompletableFuture<Void> endLease(long lease) {
    return call("DELETE", "/v1/kv-lease-end/" + lease, "", 0, true, reply -> null);
  }

  private static Page readPage(HttpReply reply) {
    JsonNode node = node(reply, OK);
    List<Item> items = new ArrayList<>();
    node.path("items").forEach(each -> items.add(readItem(each)));
    return new Page(items, node.path("hasMore").asBoolean(), node.path("asOf").asLong());
  }

  private static WatchReply readWatch(HttpReply reply) {
    if (reply.status() == GONE) {
      return new WatchReply(true, List.of(), 0);
    }
    JsonNode node = node(reply, OK);
    List<Change> changes = new ArrayList<>();
    node.path("events").forEach(each -> changes.add(new Change(readItem(each))));
    return new WatchReply(false, changes, node.path("asOf").asLong());
  }

  private static TxnReply readTxn(HttpReply reply) {
    if (reply.status() == CONFLICT) {
      List<Item> items = new ArrayList<>();
      node(reply, CONFLICT).path("items").forEach(each -> items.add(readItem(each)));
      return new TxnReply(false, 0, items);
    }
    return new TxnReply(true, node(reply, OK).path("revision").asLong(), List.of());
  }

  private static Item readItem(JsonNode node) {
    long revision = node.path("revision").asLong();
    String key = node.path("key").asText();
    if (node.path("deleted").asBoolean() || !node.has("value")) {
      return new Item(key, null, revision);
    }
    byte[] value = Base64.getDecoder().decode(node.path("value").asText());
    return new Item(key, new String(value, StandardCharsets.UTF_8), revision);
  }

  private <T> CompletableFuture<T> call(
      String method,
      String path,
      String body,
      long waitMillis,
      boolean changes,
      Function<HttpReply, T> read) {
    long deadline = System.nanoTime() + timeoutNanos + TimeUnit.MILLISECONDS.toNanos(waitMillis);
    CompletableFuture<T> result = new CompletableFuture<>();
    caller
        .call(HttpCall.of(address, method, path, body, deadline))
        .whenComplete(
            (reply, error) -> {
              if (error != null) {
                boolean changed = changes && HttpException.mayHaveArrived(error);
                result.completeExceptionally(new StoreException(changed, error.getMessage()));
              } else {
                complete(result, reply, changes, read);
              }
            });
    return result;
  }

  private static <T> void complete(
      CompletableFuture<T> result, HttpReply reply, boolean changes, Function<HttpReply, T> read) {
    if (reply.status() == UNAVAILABLE || reply.status() == TOO_MANY) {
      result.completeExceptionally(
          new StoreException(false, "the store answered " + reply.status()));
      return;
    }
    try {
      result.complete(read.apply(reply));
    } catch (RuntimeException e) {
      result.completeExceptionally(new StoreException(changes, e.getMessage()));
    }
  }

  private static JsonNode node(HttpReply reply, int expected) {
    if (reply.status() != expected) {
      throw new IllegalStateException("the store answered " + reply.status());
    }
    try {
      return JsonText.MAPPER.readTree(reply.body());
    } catch (IOException e) {
      throw new IllegalStateException("not a reply of the store: " + e.getMessage(), e);
    }
  }

  private static String escape(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
