package org.marjoramhoist.entry;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Set;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.http.HostPort;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.json.CheckedObject;
import org.marjoramhoist.platform.WorkerEntries;

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
   * @param text the text; may be null
   * @throws IOException if the text is no worker, or has values that no entry of a worker has
   */
  static WorkerInfo read(String text) throws IOException {
    CheckedObject root = CheckedObject.parse(text);
    String address = root.text("address", WorkerEntries.MAX_TEXT_CHARS);
    if (!HostPort.isIpv4(address)) {
      throw new IOException("the address is no IPv4 address with a port");
    }
    return new WorkerInfo(
        root.text("id", WorkerEntries.MAX_TEXT_CHARS),
        root.textOrEmpty("upstream", WorkerEntries.MAX_TEXT_CHARS),
        address,
        root.textOrEmpty("failureDomain", WorkerEntries.MAX_TEXT_CHARS),
        readResources(root.object("capacity")),
        root.has("largestCapacity") ? readResources(root.object("largestCapacity")) : null,
        root.textOrEmpty("kind", WorkerEntries.MAX_TEXT_CHARS),
        root.textOrEmpty("rack", WorkerEntries.MAX_TEXT_CHARS),
        Set.copyOf(root.texts("labels", WorkerEntries.MAX_LABELS, WorkerEntries.MAX_TEXT_CHARS)),
        root.flag("draining"),
        root.wholeNumberOrZero("bornMillis", WorkerEntries.MAX_TIME_MILLIS),
        0,
        0);
  }

  private static Resources readResources(CheckedObject node) throws IOException {
    return new Resources(
        node.wholeNumber("cpuMillis", WorkerEntries.MAX_AMOUNT),
        node.wholeNumber("memoryMib", WorkerEntries.MAX_AMOUNT),
        node.wholeNumberOrZero("accelerators", WorkerEntries.MAX_AMOUNT));
  }
}
