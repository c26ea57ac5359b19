package org.marjoramhoist.json;

/**
 * One fault found in a document.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param source the file or request that the document came from
 * @param line the line of the fault, from 1
 * @param key the path of the key at fault; empty for the whole document
 * @param message what is wrong and what would be right
 */
public record Problem(String source, int line, String key, String message) {

  @Override
  public String toString() {
    String place = source + ":" + line + ": ";
    return key.isEmpty() ? place + message : place + key + ": " + message;
  }
}
