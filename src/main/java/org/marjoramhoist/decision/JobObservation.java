package org.marjoramhoist.decision;

import org.marjoramhoist.model.ClassId;
import org.marjoramhoist.model.ErrorKind;
import org.marjoramhoist.model.SubmissionId;
import org.marjoramhoist.model.TeamId;

/**
 * The times of an ended job.
 *
 * <p>Immutable.
 *
 * @param submission the submission
 * @param team the team
 * @param classId the class of request
 * @param error what went wrong; null if the job is complete
 * @param responseMicros from submission to answer, in microseconds
 * @param firstStartMicros from submission to the first start, in microseconds; -1 if none started
 * @param longestRunMicros the longest run of one task on its worker, in microseconds
 * @param tasks how many tasks the job has
 */
public record JobObservation(
    SubmissionId submission,
    TeamId team,
    ClassId classId,
    ErrorKind error,
    long responseMicros,
    long firstStartMicros,
    long longestRunMicros,
    int tasks) {}
