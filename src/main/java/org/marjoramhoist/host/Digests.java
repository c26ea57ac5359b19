package org.marjoramhoist.host;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * SHA-256 digests of bodies and tokens.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class Digests {

  private Digests() {}

  /** Returns the SHA-256 digest in hexadecimal. */
  public static String sha256(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is part of every Java platform", e);
    }
  }

  /** Tells whether the token has one of the digests; takes the same time whichever it is. */
  static boolean matches(String token, List<String> digests) {
    byte[] digest = sha256(token.getBytes(StandardCharsets.UTF_8)).getBytes(StandardCharsets.UTF_8);
    boolean found = false;
    for (String candidate : digests) {
      found |= MessageDigest.isEqual(digest, candidate.getBytes(StandardCharsets.UTF_8));
    }
    return found;
  }
}
