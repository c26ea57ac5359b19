package org.marjoramhoist.json;

import java.nio.charset.StandardCharsets;

/**
 * What texts are in UTF-8, in which all is sent and stored.
 *
 * <p>JSON can escape half of a surrogate pair, which no text in UTF-8 holds: it would be sent on as
 * another letter. Such a text is refused where it comes in. Stateless and safe for use by several
 * threads.
 */
public final class Utf8 {

  /** Why a text that {@link #canHold} tells of is refused. */
  public static final String HALF_PAIR = "has half of a surrogate pair, which UTF-8 can't hold";

  private Utf8() {}

  /** Tells whether a text has a form in UTF-8, from which it is read back letter for letter. */
  public static boolean canHold(String text) {
    return !hasSurrogates(text) || StandardCharsets.UTF_8.newEncoder().canEncode(text);
  }

  /** Tells whether a text has any; most have none, and need no encoder. */
  private static boolean hasSurrogates(String text) {
    for (int i = 0; i < text.length(); i++) {
      if (Character.isSurrogate(text.charAt(i))) {
        return true;
      }
    }
    return false;
  }

  /** Returns the length of a text in bytes. */
  public static int lengthOf(String text) {
    return text.getBytes(StandardCharsets.UTF_8).length;
  }
}
