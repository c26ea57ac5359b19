package org.marjoramhoist.decision;

import java.util.List;
import java.util.Map;
import org.marjoramhoist.model.ClassId;
import org.marjoramhoist.model.TeamId;
import org.marjoramhoist.resource.ClassSpec;
import org.marjoramhoist.resource.ResourceDoc;
import org.marjoramhoist.resource.TeamSpec;

/**
 * The configuration of one revision, for the adapters.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param revision the revision; 0 if there is no configuration yet
 * @param docs every resource in the order of the keys
 * @param teams the declared teams
 * @param classes the declared classes of request
 */
public record ConfigView(
    long revision,
    List<ResourceDoc> docs,
    Map<TeamId, TeamSpec> teams,
    Map<ClassId, ClassSpec> classes) {

  /** The view before any configuration has arrived. */
  public static final ConfigView EMPTY = new ConfigView(0, List.of(), Map.of(), Map.of());

  /** Creates a view of copies. */
  public ConfigView {
    docs = List.copyOf(docs);
    teams = Map.copyOf(teams);
    classes = Map.copyOf(classes);
  }
}
