package org.marjoramhoist.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.Set;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.json.JsonText;

/**
 * The storage format of a worker in the roster.
 *
 * <p>Fields are read and written explicitly, because data binding by reflection takes longer than
 * everything else that a new leader does with the roster. Stateless and thread-safe.
 */
final class StoredWorker {

  private StoredWorker() {}

  /** Returns a worker as JSON. */
  static String write(WorkerInfo worker) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("id", worker.id());
    node.put("upstream", worker.upstream());
    node.put("address", worker.address());
    node.put("failureDomain", worker.failureDomain());
    write(worker.capacity(), node.putObject("capacity"));
    write(worker.largestCapacity(), node.putObject("largestCapacity"));
    node.put("kind", worker.kind());
    node.put("rack", worker.rack());
    worker.labels().forEach(node.putArray("labels")::add);
    node.put("draining", worker.draining());
    node.put("bornMillis", worker.bornMillis());
    return node.toString();
  }

  private static void write(Resources resources, ObjectNode node) {
    node.put("cpuMillis", resources.cpuMillis());
    node.put("memoryMib", resources.memoryMib());
    node.put("accelerators", resources.accelerators());
  }

  /**
   * Parses a worker; earlier versions wrote no largest capacity.
   *
   * @throws JsonProcessingException if the text is not valid JSON
   */
  static WorkerInfo read(String text) throws JsonProcessingException {
    JsonNode node = JsonText.MAPPER.readTree(text);
    Set<String> labels = new HashSet<>();
    node.path("labels").forEach(label -> labels.add(label.asText()));
    return new WorkerInfo(
        node.path("id").asText(),
        node.path("upstream").asText(),
        node.path("address").asText(),
        node.path("failureDomain").asText(),
        readResources(node.path("capacity")),
        readResources(node.path("largestCapacity")),
        node.path("kind").asText(),
        node.path("rack").asText(),
        labels,
        node.path("draining").asBoolean(),
        node.path("bornMillis").asLong(),
        0,
        0);
  }

  private static Resources readResources(JsonNode node) {
    return new Resources(
        node.path("cpuMillis").asLong(),
        node.path("memoryMib").asLong(),
        node.path("accelerators").asLong());
  }
}
