package org.marjoramhoist.dispatch;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;
import java.util.function.IntConsumer;

/**
 * A set of numbers from 0, kept and written as ranges: indexes of tasks, or numbers of runs, of
 * which neighbours mostly share their fate.
 *
 * <p>Its JSON form is the number if it holds one, and otherwise a text such as {@code "1-5,7"}.
 * Invariant: the ranges ascend, and a number lies between two of them. Immutable and safe for use
 * by several threads.
 */
public final class NumberSet {

  /** The set without a number. */
  public static final NumberSet EMPTY = new NumberSet(new long[0]);

  /** Each range: its first number in the upper half, its last one in the lower half. */
  private final long[] ranges;

  private NumberSet(long[] ranges) {
    this.ranges = ranges;
  }

  /**
   * Returns the set of one number.
   *
   * @throws IllegalArgumentException if it is negative
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public static NumberSet of(int number) {
    return new NumberSet(new long[] {range(number, number)});
  }

  /**
   * Returns the set that a text names, in any order.
   *
   * @throws IllegalArgumentException if the text is not of the form that {@link #toString} returns
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public static NumberSet parse(String text) {
    if (text.isEmpty()) {
      return EMPTY;
    }
    String[] parts = text.split(",", -1);
    long[] ranges = new long[parts.length];
    for (int i = 0; i < parts.length; i++) {
      int dash = parts[i].indexOf('-');
      ranges[i] =
          dash < 0
              ? of(number(parts[i])).ranges[0]
              : range(number(parts[i].substring(0, dash)), number(parts[i].substring(dash + 1)));
    }
    return merge(ranges);
  }

  /** Parses digits; {@link Integer#parseInt} would take a sign and the digits of any script. */
  private static int number(String text) {
    if (text.isEmpty() || !text.chars().allMatch(each -> each >= '0' && each <= '9')) {
      throw new IllegalArgumentException("not a number: " + text);
    }
    return Integer.parseInt(text);
  }

  private static long range(int first, int last) {
    if (first < 0 || last < first) {
      throw new IllegalArgumentException("not a range of numbers: " + first + " to " + last);
    }
    return (long) first << Integer.SIZE | last;
  }

  private static int first(long range) {
    return (int) (range >>> Integer.SIZE);
  }

  private static int last(long range) {
    return (int) range;
  }

  /** Sorts ranges and joins those that touch. */
  private static NumberSet merge(long[] ranges) {
    Arrays.sort(ranges);
    int count = 0;
    for (long each : ranges) {
      if (count > 0 && first(each) <= last(ranges[count - 1]) + 1L) {
        int last = Math.max(last(each), last(ranges[count - 1]));
        ranges[count - 1] = range(first(ranges[count - 1]), last);
      } else {
        ranges[count++] = each;
      }
    }
    return new NumberSet(Arrays.copyOf(ranges, count));
  }

  /** Returns the set of the numbers of this one and of another one. */
  public NumberSet union(NumberSet other) {
    Builder builder = new Builder();
    builder.addAll(this);
    builder.addAll(other);
    return builder.build();
  }

  /** Returns whether a number is in the set. */
  public boolean contains(int number) {
    // The last range that begins with the number or before.
    int found = Arrays.binarySearch(ranges, (long) number << Integer.SIZE | Integer.MAX_VALUE);
    int index = found >= 0 ? found : -found - 2;
    return number >= 0 && index >= 0 && last(ranges[index]) >= number;
  }

  /** Returns whether the set is without a number. */
  public boolean isEmpty() {
    return ranges.length == 0;
  }

  /** Returns how many numbers the set has; {@link Integer#MAX_VALUE} if there are more. */
  public int size() {
    long size = 0;
    for (long each : ranges) {
      size += last(each) - first(each) + 1L;
    }
    return (int) Math.min(Integer.MAX_VALUE, size);
  }

  /**
   * Returns the highest number.
   *
   * @throws IllegalStateException if the set is empty
   */
  public int max() {
    if (isEmpty()) {
      throw new IllegalStateException("no number");
    }
    return last(ranges[ranges.length - 1]);
  }

  /** Passes on each number, ascending. */
  public void forEach(IntConsumer action) {
    for (long each : ranges) {
      for (long number = first(each); number <= last(each); number++) {
        action.accept((int) number);
      }
    }
  }

  @JsonValue
  Object toJson() {
    boolean isSingle = ranges.length == 1 && first(ranges[0]) == last(ranges[0]);
    return isSingle ? (Object) first(ranges[0]) : toString();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof NumberSet set && Arrays.equals(ranges, set.ranges);
  }

  @Override
  public int hashCode() {
    // That of the array is the same for all sets of one number.
    int hash = 1;
    for (long each : ranges) {
      hash = 31 * (31 * hash + first(each)) + last(each);
    }
    return hash;
  }

  /** Returns the ranges, separated by commas, such as {@code "1-5,7"}. */
  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    for (long each : ranges) {
      text.append(text.length() == 0 ? "" : ",").append(first(each));
      if (last(each) > first(each)) {
        text.append('-').append(last(each));
      }
    }
    return text.toString();
  }

  /** Collects numbers; the cost grows with their ranges. Confined to one thread. */
  static final class Builder {
    private long[] ranges = new long[4];
    private int count;

    /** Adds the numbers of a set. */
    void addAll(NumberSet set) {
      for (long each : set.ranges) {
        add(each);
      }
    }

    private void add(long range) {
      long previous = count == 0 ? 0 : ranges[count - 1];
      boolean continues =
          count > 0 && first(range) >= first(previous) && first(range) <= last(previous) + 1L;
      if (continues) {
        ranges[count - 1] = range(first(previous), Math.max(last(previous), last(range)));
        return;
      }
      if (count == ranges.length) {
        ranges = Arrays.copyOf(ranges, 2 * count);
      }
      ranges[count++] = range;
    }

    /** Returns the set of the numbers that were added. */
    NumberSet build() {
      return merge(Arrays.copyOf(ranges, count));
    }
  }
}
