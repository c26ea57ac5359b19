package org.marjoramhoist.json;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A JSON object that another program wrote. Its fields are read only if they have the expected type
 * and stay within limits; other fields may have any value.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class CheckedObject {

  /** The longest text that is read, in characters; its tree takes many times that in memory. */
  private static final int MAX_CHARS = 64 * 1024;

  private final JsonNode node;

  private CheckedObject(JsonNode node) {
    this.node = node;
  }

  /**
   * Parses a text.
   *
   * @param text the text; may be null
   * @throws IOException if the text is too long or not a JSON object that can be read
   */
  public static CheckedObject parse(String text) throws IOException {
    if (text == null || text.length() > MAX_CHARS) {
      throw new IOException(text == null ? "there is no text" : "the text is too long");
    }
    return of(JsonText.MAPPER.readTree(text), "the text");
  }

  private static CheckedObject of(JsonNode node, String what) throws IOException {
    if (node == null || !node.isObject()) {
      throw new IOException(what + " is not an object");
    }
    return new CheckedObject(node);
  }

  /** Returns whether the object has a field, even if its value is null. */
  public boolean has(String field) {
    return node.has(field);
  }

  /**
   * Returns an object within this one.
   *
   * @throws IOException if there is none under that name
   */
  public CheckedObject object(String field) throws IOException {
    return of(node.get(field), field);
  }

  /**
   * Returns a truth value; false if there is no such field.
   *
   * @throws IOException if there is one that is no truth value
   */
  public boolean flag(String field) throws IOException {
    JsonNode value = node.get(field);
    if (value != null && !value.isBoolean()) {
      throw new IOException(field + " is not a truth value");
    }
    return value != null && value.booleanValue();
  }

  /**
   * Returns a text without control characters.
   *
   * @throws IOException if there is none of 1 to {@code maxLength} characters
   */
  public String text(String field, int maxLength) throws IOException {
    return textOf(node.get(field), field, maxLength);
  }

  /**
   * Returns a text without control characters; an empty one if there is no such field.
   *
   * @throws IOException if there is one that is not a text of at most {@code maxLength} characters
   */
  public String textOrEmpty(String field, int maxLength) throws IOException {
    JsonNode value = node.get(field);
    boolean isEmpty = value == null || value.isTextual() && value.textValue().isEmpty();
    return isEmpty ? "" : textOf(value, field, maxLength);
  }

  private static String textOf(JsonNode value, String field, int maxLength) throws IOException {
    if (value == null || !value.isTextual()) {
      throw new IOException(field + " is not a text");
    }
    String text = value.textValue();
    if (text.isEmpty() || text.length() > maxLength) {
      throw new IOException(field + " has " + text.length() + " characters");
    }
    if (text.chars().anyMatch(Character::isISOControl)) {
      throw new IOException(field + " has control characters");
    }
    if (!Utf8.canHold(text)) {
      throw new IOException(field + " " + Utf8.UNPAIRED_SURROGATE);
    }
    return text;
  }

  /**
   * Returns a list of texts without control characters.
   *
   * @throws IOException if there is no list of at most {@code maxCount} texts, each of 1 to {@code
   *     maxLength} characters
   */
  public List<String> texts(String field, int maxCount, int maxLength) throws IOException {
    JsonNode values = node.get(field);
    if (values == null || !values.isArray() || values.size() > maxCount) {
      throw new IOException(field + " is not a list of at most " + maxCount + " texts");
    }
    List<String> texts = new ArrayList<>(values.size());
    for (JsonNode value : values) {
      texts.add(textOf(value, field, maxLength));
    }
    return texts;
  }

  /**
   * Returns a whole number.
   *
   * @throws IOException if there is none from 0 to {@code max}
   */
  public long wholeNumber(String field, long max) throws IOException {
    JsonNode value = node.get(field);
    if (value == null || !value.isIntegralNumber()) {
      throw new IOException(field + " is not a whole number");
    }
    if (!value.canConvertToLong() || value.longValue() < 0 || value.longValue() > max) {
      throw outOfRange(field);
    }
    return value.longValue();
  }

  private static IOException outOfRange(String field) {
    return new IOException(field + " is out of range");
  }

  /**
   * Returns a whole number; 0 if there is no such field.
   *
   * @throws IOException if there is one that is not a whole number from 0 to {@code max}
   */
  public long wholeNumberOrZero(String field, long max) throws IOException {
    return has(field) ? wholeNumber(field, max) : 0;
  }

  /**
   * Returns a number, which may have a fraction; 0 if there is no such field.
   *
   * @throws IOException if there is one that is not a number of an amount up to {@code max}
   */
  public double numberOrZero(String field, double max) throws IOException {
    JsonNode value = node.get(field);
    if (value == null) {
      return 0;
    }
    if (!value.isNumber()) {
      throw new IOException(field + " is not a number");
    }
    if (!(Math.abs(value.doubleValue()) <= max)) {
      throw outOfRange(field);
    }
    return value.doubleValue();
  }
}
