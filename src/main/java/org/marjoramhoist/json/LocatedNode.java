package org.marjoramhoist.json;

import java.util.List;
import java.util.Map;

/**
 * A JSON value that knows the line it stands on.
 *
 * <p>Immutable after parsing.
 *
 * @param line the line, from 1
 * @param value a {@code Map<String, LocatedNode>}, {@code List<LocatedNode>}, {@code String},
 *     {@code Long}, {@code Double}, {@code Boolean}, or null
 */
record LocatedNode(int line, Object value) {

  @SuppressWarnings("unchecked")
  Map<String, LocatedNode> asObject() {
    return value instanceof Map<?, ?> ? (Map<String, LocatedNode>) value : null;
  }

  @SuppressWarnings("unchecked")
  List<LocatedNode> asArray() {
    return value instanceof List<?> ? (List<LocatedNode>) value : null;
  }

  String typeName() {
    if (value == null) {
      return "null";
    }
    if (value instanceof Map) {
      return "object";
    }
    if (value instanceof List) {
      return "array";
    }
    if (value instanceof String) {
      return "string";
    }
    return value instanceof Boolean ? "boolean" : "number";
  }
}
