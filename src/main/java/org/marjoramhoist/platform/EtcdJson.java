package org.marjoramhoist.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.marjoramhoist.json.JsonText;

/**
 * The bodies of etcd's JSON gateway.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class EtcdJson {

  private EtcdJson() {}

  static String encode(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  static String decode(String text) {
    return new String(Base64.getDecoder().decode(text), StandardCharsets.UTF_8);
  }

  static String range(String from, String to) {
    return bounds(from, to).toString();
  }

  private static ObjectNode bounds(String from, String to) {
    ObjectNode node = JsonText.MAPPER.createObjectNode();
    node.put("key", encode(from));
    node.put("range_end", encode(to));
    return node;
  }

  static String txn(List<Store.Condition> conditions, List<Store.Op> steps) {
    ObjectNode node = JsonText.MAPPER.createObjectNode();
    ArrayNode compares = node.putArray("compare");
    for (Store.Condition condition : conditions) {
      ObjectNode compare = compares.addObject();
      compare.put("key", encode(condition.key()));
      compare.put("target", "MOD");
      compare.put("result", "EQUAL");
      compare.put("mod_revision", String.valueOf(condition.modRevision()));
    }
    ArrayNode success = node.putArray("success");
    steps.forEach(step -> success.add(op(step)));
    node.putArray("failure");
    return node.toString();
  }

  private static ObjectNode op(Store.Op step) {
    ObjectNode node = JsonText.MAPPER.createObjectNode();
    if (step instanceof Store.Op.Put put) {
      ObjectNode request = node.putObject("request_put");
      request.put("key", encode(put.key()));
      request.put("value", encode(put.value()));
      if (put.lease() != 0) {
        request.put("lease", String.valueOf(put.lease()));
      }
    } else if (step instanceof Store.Op.Delete delete) {
      node.set("request_delete_range", bounds(delete.from(), delete.to()));
    } else if (step instanceof Store.Op.Read read) {
      node.set("request_range", bounds(read.from(), read.to()));
    }
    return node;
  }

  static String watch(String prefix, long fromRevision) {
    ObjectNode node = JsonText.MAPPER.createObjectNode();
    ObjectNode request = bounds(prefix, Store.prefixRangeEnd(prefix));
    request.put("start_revision", String.valueOf(fromRevision));
    node.set("create_request", request);
    return node.toString();
  }

  static Store.Range readRange(JsonNode node) {
    List<Store.Entry> entries = new ArrayList<>();
    for (JsonNode kv : node.path("kvs")) {
      entries.add(readEntry(kv));
    }
    return new Store.Range(revisionOf(node), entries);
  }

  private static Store.Entry readEntry(JsonNode kv) {
    return new Store.Entry(
        decode(kv.path("key").asText()),
        decode(kv.path("value").asText()),
        kv.path("mod_revision").asLong());
  }

  private static long revisionOf(JsonNode node) {
    return node.path("header").path("revision").asLong();
  }

  static Store.TxnResult readTxn(JsonNode node) {
    List<Store.Range> reads = new ArrayList<>();
    for (JsonNode response : node.path("responses")) {
      if (response.has("response_range")) {
        reads.add(readRange(response.get("response_range")));
      }
    }
    return new Store.TxnResult(node.path("succeeded").asBoolean(), revisionOf(node), reads);
  }

  static void readEvents(JsonNode node, Store.WatchListener listener) {
    JsonNode result = node.path("result");
    if (result.path("canceled").asBoolean()) {
      throw new IllegalStateException("the watch was cancelled");
    }
    List<Store.Change> changes = new ArrayList<>();
    for (JsonNode event : result.path("events")) {
      Store.Entry entry = readEntry(event.path("kv"));
      boolean deleted = "DELETE".equals(event.path("type").asText());
      changes.add(deleted ? new Store.Change.Deletion(entry.key()) : new Store.Change.Put(entry));
    }
    if (!changes.isEmpty()) {
      listener.changed(revisionOf(result), changes);
    }
  }
}
