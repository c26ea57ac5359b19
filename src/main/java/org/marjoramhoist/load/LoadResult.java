package org.marjoramhoist.load;

import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What came of a load.
 *
 * @param sent jobs sent
 * @param complete jobs answered as complete
 * @param errors answers that are errors, by kind
 * @param notSent arrivals that were not sent since too many jobs were in flight
 * @param wrong answers that do not hold exactly one result for each task
 * @param responseMicros response times by class, in microseconds
 * @param slowdownPercent response over the longest task's size, times 100
 * @param seconds how long the load took
 */
public record LoadResult(
    long sent,
    long complete,
    Map<String, Long> errors,
    long notSent,
    long wrong,
    Map<String, Histogram> responseMicros,
    Histogram slowdownPercent,
    double seconds) {}
