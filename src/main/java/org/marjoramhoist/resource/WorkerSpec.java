package org.marjoramhoist.resource;

import org.marjoramhoist.model.DomainId;
import org.marjoramhoist.model.WorkerId;

/**
 * A worker of an upstream.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the worker's name
 * @param address {@code host:port} of its HTTP listener
 * @param domain its failure domain
 * @param rack its rack; empty if not told
 * @param slots how many tasks it runs at once
 * @param connections how many connections it accepts
 * @param needs the processors, memory and accelerators that it has
 * @param leaving whether an operator takes it out of service
 */
public record WorkerSpec(
    WorkerId id,
    String address,
    DomainId domain,
    String rack,
    int slots,
    int connections,
    Needs needs,
    boolean leaving) {}
