package org.marjoramhoist.resource;

import java.util.Set;
import org.marjoramhoist.model.ClassId;
import org.marjoramhoist.model.TeamId;
import org.marjoramhoist.model.UpstreamId;

/**
 * A declared class of request.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id its name
 * @param upstream the upstream that runs it
 * @param deadlineMillis the deadline of a job that names none, in milliseconds from its submission
 * @param expectedMillis the run time expected until run times are learned, in milliseconds
 * @param maxAttempts how often an idempotent task may be started
 * @param idempotent whether tasks are idempotent unless they say otherwise
 * @param needs what one task needs
 * @param teams the teams that may use it; none lets all use it
 */
public record ClassSpec(
    ClassId id,
    UpstreamId upstream,
    long deadlineMillis,
    long expectedMillis,
    int maxAttempts,
    boolean idempotent,
    Needs needs,
    Set<TeamId> teams) {

  /** Creates a class of request. */
  public ClassSpec {
    teams = Set.copyOf(teams);
  }

  /** Tells whether the team may submit jobs of this class. */
  public boolean allows(TeamId team) {
    return teams.isEmpty() || teams.contains(team);
  }
}
