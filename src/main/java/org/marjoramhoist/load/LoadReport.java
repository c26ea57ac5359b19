package org.marjoramhoist.load;

import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Writes what came of a load as text.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class LoadReport {

  private static final double MICROS_PER_MILLI = 1_000;
  private static final double PERCENT = 100;

  private LoadReport() {}

  /** Returns the report. */
  public static String of(LoadResult result) {
    StringBuilder text = new StringBuilder();
    text.append(
        String.format(
            Locale.ROOT,
            "jobs sent %d, complete %d, wrong %d, not sent %d, %.1f s%n",
            result.sent(),
            result.complete(),
            result.wrong(),
            result.notSent(),
            result.seconds()));
    result.errors().forEach((kind, count) -> text.append("error " + kind + " " + count + "\n"));
    text.append(histogram(result.responseMicros()));
    Histogram slowdown = result.slowdownPercent();
    text.append(
        String.format(
            Locale.ROOT,
            "response / longest task: p50 %.2f  p90 %.2f  p99 %.2f  max %.2f%n",
            slowdown.getValueAtPercentile(50) / PERCENT,
            slowdown.getValueAtPercentile(90) / PERCENT,
            slowdown.getValueAtPercentile(99) / PERCENT,
            slowdown.getMaxValue() / PERCENT));
    return text.toString();
  }

  private static String histogram(Map<String, Histogram> byClass) {
    StringBuilder text = new StringBuilder();
    byClass.forEach(
        (name, h) ->
            text.append(
                String.format(
                    Locale.ROOT,
                    "class %-24s n %-6d p50 %.1f ms  p90 %.1f ms  p99 %.1f ms  max %.1f ms%n",
                    name,
                    h.getTotalCount(),
                    h.getValueAtPercentile(50) / MICROS_PER_MILLI,
                    h.getValueAtPercentile(90) / MICROS_PER_MILLI,
                    h.getValueAtPercentile(99) / MICROS_PER_MILLI,
                    h.getMaxValue() / MICROS_PER_MILLI)));
    return text.toString();
  }
}
