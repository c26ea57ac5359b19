package org.marjoramhoist.resource;

import java.util.List;
import org.marjoramhoist.model.TeamId;

/**
 * A declared team.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id its name
 * @param quotaTasks how many of its tasks may wait or run at once
 * @param share its weight when upstreams are scarce
 * @param tokenHashes SHA-256 of the tokens that may act for it, in hexadecimal; none lets all act
 */
public record TeamSpec(TeamId id, int quotaTasks, int share, List<String> tokenHashes) {

  /** Creates a team. */
  public TeamSpec {
    tokenHashes = List.copyOf(tokenHashes);
  }
}
