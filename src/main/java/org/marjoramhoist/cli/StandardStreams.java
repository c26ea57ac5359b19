package org.marjoramhoist.cli;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * What a command reads from and writes to its environment as text.
 *
 * <p>Output is UTF-8, as JSON and CSV must be, whatever language the environment names. Stateless
 * and safe for use by several threads.
 */
final class StandardStreams {

  /** What Java decodes to if the bytes of an argument are no text in the environment's charset. */
  private static final String REPLACEMENT = StandardCharsets.UTF_8.newDecoder().replacement();

  private StandardStreams() {}

  /** Has standard output and standard error written in UTF-8 from now on. */
  static void useUtf8() {
    System.setOut(utf8(FileDescriptor.out));
    System.setErr(utf8(FileDescriptor.err));
  }

  private static PrintStream utf8(FileDescriptor descriptor) {
    BufferedOutputStream buffered = new BufferedOutputStream(new FileOutputStream(descriptor));
    return new PrintStream(buffered, true, StandardCharsets.UTF_8);
  }

  /** Tells whether Java has got the arguments with the letters that were typed. */
  static boolean areReadable(String[] arguments) {
    return Arrays.stream(arguments).noneMatch(each -> each.contains(REPLACEMENT));
  }
}
