package org.marjoramhoist.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.marjoramhoist.json.InvalidDocumentException;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.PeerMessage.ConfigUpdate;
import org.marjoramhoist.model.ClassId;
import org.marjoramhoist.model.TeamId;
import org.marjoramhoist.model.UpstreamId;
import org.marjoramhoist.resource.ClassSpec;
import org.marjoramhoist.resource.Declarations;
import org.marjoramhoist.resource.ResourceDoc;
import org.marjoramhoist.resource.ResourceKey;
import org.marjoramhoist.resource.TeamSpec;
import org.marjoramhoist.resource.UpstreamSpec;

/**
 * The configuration in force at this host.
 *
 * <p>Invariant: the revision only rises, whatever the source. A change applies to the revision it
 * names or to a later one, never to an earlier one. Confined to one thread.
 */
public final class Configuration {

  private static final int LOG_LENGTH = 256;

  /** A change as this host took it in. */
  private record Change(
      long base, long revision, List<ResourceDoc> changed, List<String> deleted) {}

  private final Map<String, ResourceDoc> docs = new TreeMap<>();
  private final Map<UpstreamId, UpstreamSpec> upstreams = new HashMap<>();
  private final Map<TeamId, TeamSpec> teams = new HashMap<>();
  private final Map<ClassId, ClassSpec> classes = new HashMap<>();
  private final Deque<Change> log = new ArrayDeque<>();
  private long revision;

  /** Returns the revision in force; 0 if there is no configuration yet. */
  public long revision() {
    return revision;
  }

  /** Returns a declared team; null if there is none. */
  public TeamSpec team(TeamId id) {
    return teams.get(id);
  }

  /** Returns a declared class of request; null if there is none. */
  public ClassSpec requestClass(ClassId id) {
    return classes.get(id);
  }

  /** Returns a declared upstream; null if there is none. */
  public UpstreamSpec upstream(UpstreamId id) {
    return upstreams.get(id);
  }

  /** Returns the declared upstreams. */
  public List<UpstreamSpec> upstreams() {
    return List.copyOf(upstreams.values());
  }

  /** Returns the declared teams. */
  public List<TeamSpec> teams() {
    return List.copyOf(teams.values());
  }

  /** Returns every resource in the order of the keys. */
  public List<ResourceDoc> docs() {
    return List.copyOf(docs.values());
  }

  /**
   * Takes in a change.
   *
   * @param base the revision the change applies to; -1 if it holds the whole configuration
   * @return whether the revision in force has risen
   */
  public boolean apply(
      long base, long next, List<ResourceDoc> changed, List<String> deleted, Actions out) {
    if (next <= revision) {
      if (next < revision) {
        out.log(LogEvent.CONFIG_OLDER_REFUSED, "revision=" + next + " inForce=" + revision);
      }
      return false;
    }
    if (base > revision) {
      return false;
    }
    if (base < 0) {
      dropAllBut(changed);
      log.clear();
    } else {
      log.addLast(new Change(revision, next, List.copyOf(changed), List.copyOf(deleted)));
      if (log.size() > LOG_LENGTH) {
        log.removeFirst();
      }
    }
    changed.forEach(doc -> put(doc, out));
    deleted.forEach(this::drop);
    revision = next;
    out.add(new Action.ConfigInForce(new ConfigView(revision, docs(), teams, classes)));
    out.log(LogEvent.CONFIG_APPLIED, "revision=" + revision);
    return true;
  }

  private void dropAllBut(List<ResourceDoc> kept) {
    List<String> keys = new ArrayList<>(docs.keySet());
    kept.forEach(doc -> keys.remove(doc.key()));
    keys.forEach(this::drop);
  }

  private void put(ResourceDoc doc, Actions out) {
    ResourceDoc held = docs.get(doc.key());
    if (held != null && held.version() >= doc.version()) {
      return;
    }
    try {
      ResourceKey key = ResourceKey.parse(doc.key());
      Object spec = Declarations.parseSpec(key, doc.json());
      docs.put(doc.key(), doc);
      index(spec);
    } catch (InvalidDocumentException | IllegalArgumentException e) {
      out.log(LogEvent.CONFIG_RESOURCE_INVALID, "resource=" + doc.key() + " " + e.getMessage());
    }
  }

  private void index(Object spec) {
    if (spec instanceof UpstreamSpec upstream) {
      upstreams.put(upstream.id(), upstream);
    } else if (spec instanceof TeamSpec team) {
      teams.put(team.id(), team);
    } else if (spec instanceof ClassSpec requestClass) {
      classes.put(requestClass.id(), requestClass);
    }
  }

  private void drop(String text) {
    docs.remove(text);
    ResourceKey key = ResourceKey.parse(text);
    switch (key.kind()) {
      case UPSTREAM -> upstreams.remove(new UpstreamId(key.name()));
      case TEAM -> teams.remove(new TeamId(key.name()));
      case CLASS -> classes.remove(new ClassId(key.name()));
      default -> throw new IllegalStateException("no such kind: " + key.kind());
    }
  }

  /**
   * Returns what leads a host from its revision to the one in force: the changes since, or the
   * whole if they are not known any more.
   */
  public ConfigUpdate since(long known) {
    List<Change> later = log.stream().filter(change -> change.revision() > known).toList();
    boolean covered = !later.isEmpty() && later.get(0).base() <= known;
    if (!covered) {
      return new ConfigUpdate(-1, revision, docs(), List.of());
    }
    Map<String, ResourceDoc> changed = new TreeMap<>();
    Map<String, Boolean> deleted = new TreeMap<>();
    for (Change change : later) {
      for (ResourceDoc doc : change.changed()) {
        changed.put(doc.key(), doc);
        deleted.remove(doc.key());
      }
      for (String key : change.deleted()) {
        changed.remove(key);
        deleted.put(key, true);
      }
    }
    return new ConfigUpdate(
        later.get(0).base(),
        revision,
        List.copyOf(changed.values()),
        List.copyOf(deleted.keySet()));
  }
}
