package org.marjoramhoist.model;

/**
 * Checks the text form of identifiers.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class Names {

  /** Longest identifier, in characters. */
  public static final int MAX_LENGTH = 128;

  private Names() {}

  /**
   * Checks that a text is a valid identifier: letters, digits and {@code . _ - : ~ @}.
   *
   * @param what the kind of identifier, for the message
   * @param value the text to check
   * @return the text
   * @throws IllegalArgumentException if the text is null, empty, too long or holds another
   *     character
   */
  public static String check(String what, String value) {
    if (value == null || value.isEmpty()) {
      throw new IllegalArgumentException(what + " must not be empty");
    }
    if (value.length() > MAX_LENGTH) {
      throw new IllegalArgumentException(
          what + " is longer than " + MAX_LENGTH + " characters: " + value.length());
    }
    for (int i = 0; i < value.length(); i++) {
      if (!isAllowed(value.charAt(i))) {
        throw new IllegalArgumentException(
            what + " holds a character other than letters, digits and . _ - : ~ @ at " + (i + 1));
      }
    }
    return value;
  }

  private static boolean isAllowed(char c) {
    return (c >= 'a' && c <= 'z')
        || (c >= 'A' && c <= 'Z')
        || (c >= '0' && c <= '9')
        || c == '.'
        || c == '_'
        || c == '-'
        || c == ':'
        || c == '~'
        || c == '@';
  }
}
