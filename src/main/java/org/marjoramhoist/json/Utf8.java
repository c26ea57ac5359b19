package org.marjoramhoist.json;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CoderResult;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What texts are in UTF-8, in which all is sent and stored.
 *
 * <p>JSON can escape half of a surrogate pair, which no text in UTF-8 holds: it would be sent on as
 * another character. Such a text is refused where it comes in. Stateless and safe for use by
 * several threads.
 */
public final class Utf8 {

  /** Why a text that {@link #canHold} tells of is refused. */
  public static final String UNPAIRED_SURROGATE =
      "has half of a surrogate pair, which UTF-8 can't hold";

  private Utf8() {}

  /** Tells whether a text has a form in UTF-8, from which it is read back as it was. */
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

  /**
   * Reads a text file.
   *
   * @throws IOException if the file can't be read or isn't in UTF-8
   */
  public static String read(Path file) throws IOException {
    byte[] bytes = Files.readAllBytes(file);
    ByteBuffer in = ByteBuffer.wrap(bytes);
    // A byte makes a char at most.
    CharBuffer out = CharBuffer.allocate(bytes.length);
    CoderResult result = StandardCharsets.UTF_8.newDecoder().decode(in, out, true);
    if (result.isError()) {
      throw new IOException("not in UTF-8 at byte " + in.position() + ", counted from 0");
    }
    return out.flip().toString();
  }

  /** Returns the length of a text in bytes. */
  public static int lengthOf(String text) {
    return text.getBytes(StandardCharsets.UTF_8).length;
  }
}
