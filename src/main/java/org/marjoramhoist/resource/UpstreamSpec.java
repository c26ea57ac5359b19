package org.marjoramhoist.resource;

import java.util.List;
import org.marjoramhoist.model.UpstreamId;

/**
 * A declared upstream.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id its name
 * @param workers its workers; names are unique
 */
public record UpstreamSpec(UpstreamId id, List<WorkerSpec> workers) {

  /** Creates an upstream. */
  public UpstreamSpec {
    workers = List.copyOf(workers);
  }
}
