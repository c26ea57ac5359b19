package org.marjoramhoist.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.resource.ResourceDoc;

/**
 * The declarations of a virtual fleet: one upstream of all workers, one class of request, and
 * teams.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class Declared {

  private static final int QUOTA = 100_000;
  private static final int WORKER_CORES = 16;

  private Declared() {}

  /** Returns the declarations for one team. */
  public static List<ResourceDoc> of(FleetPlan plan) {
    return of(plan, 1);
  }

  /** Returns the declarations for teams {@code team-0}, {@code team-1} and so on. */
  public static List<ResourceDoc> of(FleetPlan plan, int teams) {
    List<ResourceDoc> docs = new ArrayList<>();
    docs.add(upstream(plan));
    docs.add(requestClass("class-0", 1));
    docs.add(requestClass("class-never", WORKER_CORES + 1));
    for (int i = 0; i < teams; i++) {
      String json = JsonText.of(Map.of("quotaTasks", QUOTA, "share", 1));
      docs.add(new ResourceDoc("team/team-" + i, 0, json));
    }
    return docs;
  }

  private static ResourceDoc requestClass(String name, int cores) {
    Map<String, Object> spec = new LinkedHashMap<>();
    spec.put("upstream", "u");
    spec.put("expectedMillis", 200);
    spec.put("maxAttempts", 3);
    spec.put("cores", cores);
    return new ResourceDoc("class/" + name, 0, JsonText.of(spec));
  }

  private static ResourceDoc upstream(FleetPlan plan) {
    List<Map<String, Object>> workers = new ArrayList<>();
    for (FleetPlan.WorkerPlan worker : plan.workers()) {
      Map<String, Object> item = new LinkedHashMap<>();
      item.put("name", worker.name());
      item.put("address", "127.0.0.1:1");
      item.put("domain", worker.domain());
      item.put("rack", worker.rack());
      item.put("slots", worker.slots());
      item.put("cores", WORKER_CORES);
      workers.add(item);
    }
    return new ResourceDoc("upstream/u", 0, JsonText.of(Map.of("workers", workers)));
  }
}
