package org.marjoramhoist.decision;

import org.marjoramhoist.model.ClassId;
import org.marjoramhoist.model.SubmissionId;
import org.marjoramhoist.model.TeamId;

/**
 * One run or refusal to account for.
 *
 * <p>Immutable.
 *
 * @param team the team that pays
 * @param caller who submitted the job
 * @param submission the submission
 * @param classId the class of request
 * @param worker the worker that ran it; empty for a refusal
 * @param outcome {@code ok}, or the name of an error kind in lower case
 * @param start when it started, in microseconds since the epoch
 * @param end when it ended, in microseconds since the epoch
 * @param costMicros worker time used, in microseconds
 * @param tasks how many tasks the entry stands for
 */
public record AccountEntry(
    TeamId team,
    String caller,
    SubmissionId submission,
    ClassId classId,
    String worker,
    String outcome,
    long start,
    long end,
    long costMicros,
    int tasks) {}
