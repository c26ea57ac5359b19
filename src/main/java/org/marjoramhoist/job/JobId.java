package org.marjoramhoist.job;

/**
 * The id of a job, chosen by the caller: 16 hexadecimal digits.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the digits
 */
public record JobId(String value) {

  private static final int LENGTH = 16;
  private static final int RADIX = 16;

  /**
   * Creates an id.
   *
   * @throws IllegalArgumentException if the value is not 16 hexadecimal digits
   */
  public JobId {
    if (value.length() != LENGTH || !isHexadecimal(value)) {
      throw new IllegalArgumentException("a job id must consist of 16 hexadecimal digits");
    }
  }

  private static boolean isHexadecimal(String text) {
    for (int i = 0; i < text.length(); i++) {
      char digit = text.charAt(i);
      if (digit > 'f' || Character.digit(digit, RADIX) < 0) {
        return false;
      }
    }
    return true;
  }

  @Override
  public String toString() {
    return value;
  }

  // Explicit implementations: linking the generated record methods adds milliseconds to startup.

  @Override
  public boolean equals(Object other) {
    return other instanceof JobId that && value.equals(that.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
