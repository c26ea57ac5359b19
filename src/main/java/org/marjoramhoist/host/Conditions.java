package org.marjoramhoist.host;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.marjoramhoist.decision.ConfigView;
import org.marjoramhoist.decision.HostStatus;
import org.marjoramhoist.decision.HostStatus.WorkerView;
import org.marjoramhoist.json.InvalidDocumentException;
import org.marjoramhoist.model.ClassId;
import org.marjoramhoist.model.TeamId;
import org.marjoramhoist.resource.ClassSpec;
import org.marjoramhoist.resource.Declarations;
import org.marjoramhoist.resource.ResourceDoc;
import org.marjoramhoist.resource.ResourceKey;
import org.marjoramhoist.resource.TeamSpec;
import org.marjoramhoist.resource.UpstreamSpec;
import org.marjoramhoist.resource.WorkerSpec;

/**
 * Tells of each declared resource whether it can be used at this host, why, and since when.
 *
 * <p>Safe for use by several threads.
 */
final class Conditions {

  /**
   * One condition of a resource.
   *
   * @param type what is told
   * @param status whether it holds
   * @param reason why, in words
   * @param sinceMillis since when, in milliseconds since the epoch
   */
  record Condition(String type, boolean status, String reason, long sinceMillis) {}

  private record Seen(boolean status, long since) {}

  private static final String READY = "Ready";
  private static final String WITHIN_QUOTA = "WithinQuota";

  private final Map<String, Seen> seen = new ConcurrentHashMap<>();

  /** Returns the conditions of a resource. */
  List<Condition> of(ResourceDoc doc, ConfigView config, HostStatus status, long nowMillis) {
    ResourceKey key = ResourceKey.parse(doc.key());
    return switch (key.kind()) {
      case UPSTREAM -> List.of(upstream(doc, key, status, nowMillis));
      case TEAM ->
          List.of(team(doc, config.teams().get(new TeamId(key.name())), status, nowMillis));
      case CLASS ->
          List.of(
              requestClass(doc, config, config.classes().get(new ClassId(key.name())), nowMillis));
    };
  }

  private Condition note(String key, String type, boolean holds, String reason, long now) {
    Seen last =
        seen.compute(
            key + " " + type,
            (k, before) ->
                before != null && before.status == holds ? before : new Seen(holds, now));
    return new Condition(type, holds, reason, last.since);
  }

  private Condition upstream(ResourceDoc doc, ResourceKey key, HostStatus status, long now) {
    int all = 0;
    int usable = 0;
    for (WorkerView worker : status.workers()) {
      if (worker.upstream().equals(key.name())) {
        all++;
        boolean out = worker.state().equals("EJECTED") || worker.state().equals("LEAVING");
        usable += out ? 0 : 1;
      }
    }
    String reason = usable + " of " + all + " workers usable";
    return note(doc.key(), READY, usable > 0, reason, now);
  }

  private Condition team(ResourceDoc doc, TeamSpec team, HostStatus status, long now) {
    if (team == null) {
      return note(doc.key(), WITHIN_QUOTA, false, "the declaration can't be read", now);
    }
    int tasks = status.teams().getOrDefault(team.id().value(), 0);
    String reason = tasks + " of " + team.quotaTasks() + " tasks here";
    return note(doc.key(), WITHIN_QUOTA, tasks < team.quotaTasks(), reason, now);
  }

  private Condition requestClass(ResourceDoc doc, ConfigView config, ClassSpec spec, long now) {
    if (spec == null) {
      return note(doc.key(), READY, false, "the declaration can't be read", now);
    }
    int fitting = 0;
    for (WorkerSpec worker : workersOf(spec, config)) {
      fitting += worker.needs().covers(spec.needs()) && !worker.leaving() ? 1 : 0;
    }
    return note(doc.key(), READY, fitting > 0, fitting + " workers can run it", now);
  }

  private static List<WorkerSpec> workersOf(ClassSpec spec, ConfigView config) {
    String wanted = "upstream/" + spec.upstream();
    for (ResourceDoc doc : config.docs()) {
      if (doc.key().equals(wanted)) {
        try {
          Object parsed = Declarations.parseSpec(ResourceKey.parse(wanted), doc.json());
          return ((UpstreamSpec) parsed).workers();
        } catch (InvalidDocumentException e) {
          return new ArrayList<>();
        }
      }
    }
    return new ArrayList<>();
  }
}
