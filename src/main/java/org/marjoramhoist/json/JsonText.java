package org.marjoramhoist.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Writes JSON text and holds the mapper that adapters share.
 *
 * <p>Invariant: a value that was read can be compared, converted and written again without using up
 * the stack of a thread, as what is too deep or too long can't be read.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class JsonText {

  /** The deepest nesting that is read. */
  private static final int MAX_DEPTH = 100;

  /** The longest number that is read, in characters. */
  private static final int MAX_NUMBER_CHARS = 100;

  /**
   * Creates parsers that refuse what is too deep or too long with an {@link java.io.IOException}.
   */
  public static final JsonFactory FACTORY =
      JsonFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxNestingDepth(MAX_DEPTH)
                  .maxNumberLength(MAX_NUMBER_CHARS)
                  .build())
          .build();

  /** The mapper for JSON; configured once and never changed. */
  public static final ObjectMapper MAPPER = new ObjectMapper(FACTORY);

  private JsonText() {}

  /**
   * Writes a value as JSON on one line.
   *
   * @throws IllegalArgumentException if the value has no JSON form
   */
  public static String of(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("no JSON form: " + e.getOriginalMessage(), e);
    }
  }

  static String write(Map<String, LocatedNode> fields) {
    return of(plainObject(fields));
  }

  private static Map<String, Object> plainObject(Map<String, LocatedNode> fields) {
    Map<String, Object> plain = new LinkedHashMap<>();
    fields.forEach((key, node) -> plain.put(key, plain(node)));
    return plain;
  }

  private static Object plain(LocatedNode node) {
    if (node.asObject() != null) {
      return plainObject(node.asObject());
    }
    if (node.asArray() == null) {
      return node.value();
    }
    List<Object> items = new ArrayList<>();
    node.asArray().forEach(item -> items.add(plain(item)));
    return items;
  }
}
