package org.marjoramhoist.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.marjoramhoist.http.HttpCall;
import org.marjoramhoist.http.HttpCaller;
import org.marjoramhoist.http.HttpException;
import org.marjoramhoist.http.HttpReply;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.json.Utf8;
import org.marjoramhoist.log.Faults;

/**
 * A client of the platform's key-value store.
 *
 * <p>Futures fail with {@link StoreException}, which tells whether a change may have taken effect.
 * They complete on an I/O thread. Safe for use by several threads.
 */
public final class KeyValueClient {

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int GONE = 410;
  private static final int PRECONDITION_FAILED = 412;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private static final int MAX_KEY_BYTES = 200;

  /** The longest value that the store takes, in bytes. */
  public static final int MAX_VALUE_BYTES = 1 << 20;

  /** Responses to a call that is at fault itself: bad request, too large, can't be processed. */
  private static final Set<Integer> REFUSALS = Set.of(400, 413, 422);

  private final String address;
  private final HttpCaller caller;
  private final long timeoutNanos;

  /**
   * Creates a client.
   *
   * @param address {@code host:port} of the store
   * @param caller the HTTP client
   * @param timeoutMillis the timeout of a call, in milliseconds; a watch adds its wait time
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
   * @param value the value; empty if its bytes are no text
   * @param revision the store revision at which the key was last modified
   */
  public record Item(String key, String value, long revision) {}

  /** Items under a prefix, read at a store revision; further items follow if {@code hasMore}. */
  public record Page(List<Item> items, boolean hasMore, long revision) {}

  /**
   * A change under a watched prefix.
   *
   * @param item the key with its new value; the value is null if the key was deleted
   */
  public record Change(Item item) {
    /** Returns whether the key was deleted. */
    public boolean isDeletion() {
      return item.value() == null;
    }
  }

  /**
   * The result of a watch.
   *
   * @param compacted whether the store has discarded changes after the given revision, so that some
   *     may have been missed and all items must be read again
   * @param changes the changes in the order in which they were applied
   * @param revision the store revision after which the next watch must begin
   */
  public record WatchReply(boolean compacted, List<Change> changes, long revision) {}

  /** A condition: the key was last modified at this revision; 0 if the key is absent. */
  public record Condition(String key, long revision) {}

  /** A key to set; a lease of 0 means no lease. */
  public record Put(String key, String value, long lease) {}

  /**
   * The result of a transaction.
   *
   * @param committed whether the conditions held and the changes were applied
   * @param revision the store revision of the changes; 0 if they were not applied
   * @param current the current items of the conditions' keys, if a condition did not hold
   */
  public record TxnReply(boolean committed, long revision, List<Item> current) {}

  /** Reads a page of the items under a prefix whose keys follow {@code after}. */
  public CompletableFuture<Page> range(String prefix, String after) {
    String path = "/v1/kv-range?prefix=" + urlEncode(prefix);
    if (!after.isEmpty()) {
      path += "&after=" + urlEncode(after);
    }
    return call("GET", path, "", 0, false, KeyValueClient::parsePage);
  }

  /** Reads all items under a prefix, page by page; the result is not a consistent snapshot. */
  public CompletableFuture<Page> readAll(String prefix) {
    List<Item> items = new ArrayList<>();
    return readEach(prefix, items::add).thenApply(asOf -> new Page(items, false, asOf));
  }

  /**
   * Reads all items under a prefix and passes each on before the next page is asked for, so that
   * one page is held at a time; they are not a consistent snapshot.
   *
   * @param consumer takes an item; called on an I/O thread, until the future ends
   * @return the store revision of the first page
   */
  public CompletableFuture<Long> readEach(String prefix, Consumer<Item> consumer) {
    return readPagesAfter(prefix, "", consumer, 0);
  }

  private CompletableFuture<Long> readPagesAfter(
      String prefix, String after, Consumer<Item> consumer, long firstAsOf) {
    return range(prefix, after)
        .thenCompose(
            page -> {
              page.items().forEach(consumer);
              long asOf = firstAsOf == 0 ? page.revision() : firstAsOf;
              if (!page.hasMore() || page.items().isEmpty()) {
                return CompletableFuture.completedFuture(asOf);
              }
              String last = page.items().get(page.items().size() - 1).key();
              return readPagesAfter(prefix, last, consumer, asOf);
            });
  }

  /** Waits up to {@code waitMillis} for changes under a prefix after a revision. */
  public CompletableFuture<WatchReply> watch(String prefix, long after, long waitMillis) {
    String path =
        "/v1/kv-watch?prefix=" + urlEncode(prefix) + "&after=" + after + "&waitMs=" + waitMillis;
    return call("GET", path, "", waitMillis, false, KeyValueClient::parseWatchReply);
  }

  /**
   * Applies changes atomically if all conditions hold. A key or a value that is too long for the
   * store is refused here, as the store may end the connection in place of an answer.
   */
  public CompletableFuture<TxnReply> txn(
      List<Condition> conditions, List<Put> puts, List<String> deletes) {
    Optional<String> excess = puts.stream().map(this::excess).flatMap(Optional::stream).findFirst();
    if (excess.isPresent()) {
      return CompletableFuture.failedFuture(StoreException.refusal(excess.get()));
    }
    ObjectNode body = JsonText.MAPPER.createObjectNode();
    ArrayNode conditionNodes = body.putArray("expectedRev");
    for (Condition condition : conditions) {
      conditionNodes.addObject().put("key", condition.key()).put("revision", condition.revision());
    }
    ArrayNode putNodes = body.putArray("puts");
    for (Put put : puts) {
      byte[] value = put.value().getBytes(StandardCharsets.UTF_8);
      ObjectNode putNode = putNodes.addObject();
      putNode.put("key", put.key());
      putNode.put("value", Base64.getEncoder().encodeToString(value));
      if (put.lease() != 0) {
        putNode.put("lease", put.lease());
      }
    }
    ArrayNode deleteNodes = body.putArray("deletes");
    deletes.forEach(deleteNodes::add);
    return call("POST", "/v1/kv-txn", body.toString(), 0, true, KeyValueClient::parseTxnReply);
  }

  /** Returns what is too long in a change; empty if nothing is. */
  private Optional<String> excess(Put put) {
    int keyBytes = Utf8.lengthOf(put.key());
    int valueBytes = Utf8.lengthOf(put.value());
    if (keyBytes <= MAX_KEY_BYTES && valueBytes <= MAX_VALUE_BYTES) {
      return Optional.empty();
    }
    return Optional.of(
        "key="
            + put.key()
            + " of "
            + keyBytes
            + " bytes, at most "
            + MAX_KEY_BYTES
            + ", with a value of "
            + valueBytes
            + " bytes, at most "
            + MAX_VALUE_BYTES);
  }

  /** Grants a lease and returns its id. */
  public CompletableFuture<Long> grantLease(long ttlMillis) {
    String body = "{\"ttlMs\":" + ttlMillis + "}";
    return call(
        "POST",
        "/v1/kv-lease",
        body,
        0,
        true,
        reply -> parseBody(reply, OK).path("lease").asLong());
  }

  /** Renews a lease, and returns whether it still existed. */
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
          parseBody(reply, OK);
          return true;
        });
  }

  /** Ends a lease; the store deletes its keys. */
  public CompletableFuture<Void> endLease(long lease) {
    return call("DELETE", "/v1/kv-lease-end/" + lease, "", 0, true, reply -> null);
  }

  private static Page parsePage(HttpReply reply) {
    JsonNode node = parseBody(reply, OK);
    List<Item> items = new ArrayList<>();
    node.path("items").forEach(item -> items.add(parseExisting(item)));
    return new Page(items, node.path("hasMore").asBoolean(), node.path("asOf").asLong());
  }

  private static WatchReply parseWatchReply(HttpReply reply) {
    if (reply.status() == GONE) {
      return new WatchReply(true, List.of(), 0);
    }
    JsonNode node = parseBody(reply, OK);
    List<Change> changes = new ArrayList<>();
    node.path("events").forEach(event -> changes.add(new Change(parseEvent(event))));
    return new WatchReply(false, changes, node.path("asOf").asLong());
  }

  private static TxnReply parseTxnReply(HttpReply reply) {
    if (reply.status() == PRECONDITION_FAILED) {
      List<Item> items = new ArrayList<>();
      parseBody(reply, PRECONDITION_FAILED)
          .path("items")
          .forEach(item -> items.add(parseItem(item)));
      return new TxnReply(false, 0, items);
    }
    return new TxnReply(true, parseBody(reply, OK).path("revision").asLong(), List.of());
  }

  /** Parses the state of a key that may be absent; its value is then null. */
  private static Item parseItem(JsonNode node) {
    return node.has("value") ? parseEvent(node) : absent(node);
  }

  private static Item parseEvent(JsonNode node) {
    return node.path("deleted").asBoolean() ? absent(node) : parseExisting(node);
  }

  private static Item absent(JsonNode node) {
    return new Item(node.path("key").asText(), null, node.path("revision").asLong());
  }

  private static Item parseExisting(JsonNode node) {
    String value = decode(node.path("value"));
    return new Item(node.path("key").asText(), value, node.path("revision").asLong());
  }

  /** Returns a value; an empty one if it is no text, so that the other items can still be used. */
  private static String decode(JsonNode value) {
    if (!value.isTextual()) {
      return "";
    }
    try {
      byte[] bytes = Base64.getDecoder().decode(value.textValue());
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
    } catch (IllegalArgumentException | CharacterCodingException e) {
      return "";
    }
  }

  private <T> CompletableFuture<T> call(
      String method,
      String path,
      String body,
      long waitMillis,
      boolean modifies,
      Function<HttpReply, T> parser) {
    long deadline = System.nanoTime() + timeoutNanos + TimeUnit.MILLISECONDS.toNanos(waitMillis);
    CompletableFuture<T> result = new CompletableFuture<>();
    caller
        .call(HttpCall.of(address, method, path, body, deadline))
        .whenComplete(
            (reply, error) -> {
              if (error != null) {
                boolean mayHaveTakenEffect = modifies && HttpException.mayHaveArrived(error);
                result.completeExceptionally(
                    new StoreException(mayHaveTakenEffect, error.getMessage()));
              } else {
                complete(result, reply, modifies, parser);
              }
            });
    return result;
  }

  private static <T> void complete(
      CompletableFuture<T> result,
      HttpReply reply,
      boolean modifies,
      Function<HttpReply, T> parser) {
    if (reply.status() == UNAVAILABLE || reply.status() == TOO_MANY_REQUESTS) {
      result.completeExceptionally(
          new StoreException(false, "the store returned status " + reply.status()));
      return;
    }
    if (REFUSALS.contains(reply.status())) {
      result.completeExceptionally(
          StoreException.refusal("the store returned status " + reply.status()));
      return;
    }
    try {
      result.complete(parser.apply(reply));
    } catch (RuntimeException e) {
      result.completeExceptionally(new StoreException(modifies, e.getMessage()));
    } catch (Error e) {
      result.completeExceptionally(new StoreException(modifies, e.toString()));
      Faults.report("reply of the store", e);
    }
  }

  private static JsonNode parseBody(HttpReply reply, int expectedStatus) {
    if (reply.status() != expectedStatus) {
      throw new IllegalStateException("the store returned status " + reply.status());
    }
    try {
      return JsonText.MAPPER.readTree(reply.body());
    } catch (IOException e) {
      throw new IllegalStateException("invalid reply from the store: " + e.getMessage(), e);
    }
  }

  private static String urlEncode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
