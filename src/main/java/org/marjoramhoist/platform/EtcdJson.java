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
 * Formats and parses the message bodies of etcd's JSON gateway.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class EtcdJson {

  private EtcdJson() {}

  static String toBase64(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  static String fromBase64(String text) {
    return new String(Base64.getDecoder().decode(text), StandardCharsets.UTF_8);
  }

  static String rangeBody(String from, String to) {
    return rangeNode(from, to).toString();
  }

  private static ObjectNode rangeNode(String from, String to) {
    ObjectNode node = JsonText.MAPPER.createObjectNode();
    node.put("key", toBase64(from));
    node.put("range_end", toBase64(to));
    return node;
  }

  static String txnBody(List<Store.Condition> conditions, List<Store.Op> operations) {
    ObjectNode node = JsonText.MAPPER.createObjectNode();
    ArrayNode compares = node.putArray("compare");
    for (Store.Condition condition : conditions) {
      ObjectNode compare = compares.addObject();
      compare.put("key", toBase64(condition.key()));
      compare.put("target", "MOD");
      compare.put("result", "EQUAL");
      compare.put("mod_revision", String.valueOf(condition.modRevision()));
    }
    ArrayNode success = node.putArray("success");
    operations.forEach(operation -> success.add(operationNode(operation)));
    node.putArray("failure");
    return node.toString();
  }

  private static ObjectNode operationNode(Store.Op operation) {
    ObjectNode node = JsonText.MAPPER.createObjectNode();
    if (operation instanceof Store.Op.Put put) {
      ObjectNode request = node.putObject("request_put");
      request.put("key", toBase64(put.key()));
      request.put("value", toBase64(put.value()));
      if (put.lease() != 0) {
        request.put("lease", String.valueOf(put.lease()));
      }
    } else if (operation instanceof Store.Op.Delete delete) {
      node.set("request_delete_range", rangeNode(delete.from(), delete.to()));
    } else if (operation instanceof Store.Op.Read read) {
      node.set("request_range", rangeNode(read.from(), read.to()));
    }
    return node;
  }

  static String watchBody(String prefix, long fromRevision) {
    ObjectNode node = JsonText.MAPPER.createObjectNode();
    ObjectNode request = rangeNode(prefix, Store.prefixRangeEnd(prefix));
    request.put("start_revision", String.valueOf(fromRevision));
    node.set("create_request", request);
    return node.toString();
  }

  static Store.Range parseRange(JsonNode node) {
    List<Store.Entry> entries = new ArrayList<>();
    for (JsonNode kv : node.path("kvs")) {
      entries.add(parseEntry(kv));
    }
    return new Store.Range(revisionOf(node), entries);
  }

  private static Store.Entry parseEntry(JsonNode kv) {
    return new Store.Entry(
        fromBase64(kv.path("key").asText()),
        fromBase64(kv.path("value").asText()),
        kv.path("mod_revision").asLong());
  }

  private static long revisionOf(JsonNode node) {
    return node.path("header").path("revision").asLong();
  }

  static Store.TxnResult parseTxn(JsonNode node) {
    List<Store.Range> reads = new ArrayList<>();
    for (JsonNode response : node.path("responses")) {
      if (response.has("response_range")) {
        reads.add(parseRange(response.get("response_range")));
      }
    }
    return new Store.TxnResult(node.path("succeeded").asBoolean(), revisionOf(node), reads);
  }

  static void deliverEvents(JsonNode node, Store.WatchListener listener) {
    JsonNode result = node.path("result");
    if (result.path("canceled").asBoolean()) {
      throw new IllegalStateException("etcd cancelled the watch");
    }
    List<Store.Change> changes = new ArrayList<>();
    for (JsonNode event : result.path("events")) {
      Store.Entry entry = parseEntry(event.path("kv"));
      boolean deleted = "DELETE".equals(event.path("type").asText());
      changes.add(deleted ? new Store.Change.Deletion(entry.key()) : new Store.Change.Put(entry));
    }
    if (!changes.isEmpty()) {
      listener.changed(revisionOf(result), changes);
    }
  }
}
