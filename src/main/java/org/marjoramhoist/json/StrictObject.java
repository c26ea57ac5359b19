package org.marjoramhoist.json;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Reads one JSON object key by key and notes each wrong type, wrong range and unknown key.
 *
 * <p>A value at fault is replaced by its default, so that reading goes on and every fault is found.
 * {@link #close()} notes the keys that nobody asked for. Confined to one thread.
 */
public final class StrictObject implements AutoCloseable {

  private final Problems problems;
  private final String path;
  private final int line;
  private final Map<String, LocatedNode> fields;
  private final Set<String> asked = new HashSet<>();

  private StrictObject(Problems problems, String path, int line, Map<String, LocatedNode> fields) {
    this.problems = problems;
    this.path = path;
    this.line = line;
    this.fields = fields;
  }

  /**
   * Parses a document whose root is an object.
   *
   * @param text the document
   * @param problems takes the faults
   * @return the root; an empty object if the document can't be read
   */
  public static StrictObject parse(String text, Problems problems) {
    return of(LocatedParser.parse(text, problems), "", problems);
  }

  /**
   * Parses a document whose root is an object or an array of objects.
   *
   * @param text the document
   * @param problems takes the faults
   * @return the objects
   */
  public static List<StrictObject> parseMany(String text, Problems problems) {
    LocatedNode root = LocatedParser.parse(text, problems);
    if (root == null || root.asArray() == null) {
      return root == null ? List.of() : List.of(of(root, "", problems));
    }
    List<StrictObject> all = new ArrayList<>();
    int i = 0;
    for (LocatedNode item : root.asArray()) {
      all.add(of(item, "[" + i++ + "]", problems));
    }
    return all;
  }

  private static StrictObject of(LocatedNode node, String path, Problems problems) {
    if (node == null) {
      return new StrictObject(problems, path, 1, Map.of());
    }
    if (node.asObject() == null) {
      problems.add(node.line(), path, "must be an object, but is " + node.typeName());
      return new StrictObject(problems, path, node.line(), Map.of());
    }
    return new StrictObject(problems, path, node.line(), node.asObject());
  }

  /** Tells whether the key is present and not null. */
  public boolean has(String key) {
    LocatedNode node = fields.get(key);
    return node != null && node.value() != null;
  }

  /** Returns the line on which the object starts, from 1. */
  public int line() {
    return line;
  }

  /** Notes a fault at a key of this object. */
  public void fault(String key, String message) {
    LocatedNode node = fields.get(key);
    problems.add(node == null ? line : node.line(), pathOf(key), message);
  }

  /** Returns a text that must be present. */
  public String text(String key) {
    return read(key, String.class, "a string", null, true);
  }

  /** Returns a text, or the default if it is absent. */
  public String text(String key, String fallback) {
    return read(key, String.class, "a string", fallback, false);
  }

  /** Returns a truth value, or the default if it is absent. */
  public boolean flag(String key, boolean fallback) {
    return read(key, Boolean.class, "true or false", fallback, false);
  }

  /**
   * Returns a value made from a text that must be present.
   *
   * @param make makes the value; an {@code IllegalArgumentException} is noted as a fault
   * @return the value, or null if it is at fault
   */
  public <T> T value(String key, Function<String, T> make) {
    String text = text(key);
    if (text == null) {
      return null;
    }
    try {
      return make.apply(text);
    } catch (IllegalArgumentException e) {
      fault(key, e.getMessage());
      return null;
    }
  }

  /** Returns a whole number that must be present and within the range. */
  public long number(String key, long min, long max) {
    if (!has(key)) {
      asked.add(key);
      fault(key, "is missing; a whole number from " + min + " to " + max + " is expected");
      return min;
    }
    return number(key, min, max, min);
  }

  /** Returns a whole number within the range, or the default if it is absent. */
  public long number(String key, long min, long max, long fallback) {
    Long value = read(key, Long.class, "a whole number", fallback, false);
    if (value < min || value > max) {
      fault(key, "must be from " + min + " to " + max + ", but is " + value);
      return fallback;
    }
    return value;
  }

  /** Returns a number within the range, or the default if it is absent. */
  public double decimal(String key, double min, double max, double fallback) {
    asked.add(key);
    if (!has(key)) {
      return fallback;
    }
    Object raw = fields.get(key).value();
    if (!(raw instanceof Number n)) {
      fault(key, "must be a number, but is " + fields.get(key).typeName());
      return fallback;
    }
    double value = n.doubleValue();
    if (!(value >= min && value <= max)) {
      fault(key, "must be from " + min + " to " + max + ", but is " + value);
      return fallback;
    }
    return value;
  }

  /** Returns the object under a key; an empty one if it is absent. */
  public StrictObject object(String key) {
    asked.add(key);
    LocatedNode node = fields.get(key);
    if (node == null || node.value() == null) {
      return new StrictObject(problems, pathOf(key), line, Map.of());
    }
    return of(node, pathOf(key), problems);
  }

  /** Returns the objects of an array; none if it is absent. */
  public List<StrictObject> objects(String key) {
    List<StrictObject> all = new ArrayList<>();
    int i = 0;
    for (LocatedNode item : array(key)) {
      all.add(of(item, pathOf(key) + "[" + i++ + "]", problems));
    }
    return all;
  }

  /** Returns the texts of an array; none if it is absent. */
  public List<String> texts(String key) {
    List<String> all = new ArrayList<>();
    for (LocatedNode item : array(key)) {
      if (item.value() instanceof String text) {
        all.add(text);
      } else {
        problems.add(item.line(), pathOf(key), "must hold strings, but holds " + item.typeName());
      }
    }
    return all;
  }

  private List<LocatedNode> array(String key) {
    asked.add(key);
    LocatedNode node = fields.get(key);
    if (node == null || node.value() == null) {
      return List.of();
    }
    if (node.asArray() == null) {
      fault(key, "must be an array, but is " + node.typeName());
      return List.of();
    }
    return node.asArray();
  }

  private <T> T read(String key, Class<T> type, String expected, T fallback, boolean required) {
    asked.add(key);
    LocatedNode node = fields.get(key);
    if (node == null || node.value() == null) {
      if (required) {
        fault(key, "is missing; " + expected + " is expected");
      }
      return fallback;
    }
    if (!type.isInstance(node.value())) {
      fault(key, "must be " + expected + ", but is " + node.typeName());
      return fallback;
    }
    return type.cast(node.value());
  }

  private String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  /** Returns the object as JSON text without comments. */
  public String toJson() {
    return JsonText.write(fields);
  }

  /** Notes each key that was not asked for. */
  @Override
  public void close() {
    for (Map.Entry<String, LocatedNode> field : fields.entrySet()) {
      if (!asked.contains(field.getKey())) {
        problems.add(
            field.getValue().line(),
            pathOf(field.getKey()),
            "is not known here; known keys: " + String.join(", ", new java.util.TreeSet<>(asked)));
      }
    }
  }
}
