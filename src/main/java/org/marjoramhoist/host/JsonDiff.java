package org.marjoramhoist.host;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.marjoramhoist.json.JsonText;

/**
 * Finds the fields in which two JSON documents differ.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class JsonDiff {

  private static final int MAX_FIELDS = 20;

  private JsonDiff() {}

  /** Returns the paths of the fields that differ, at most {@value #MAX_FIELDS}. */
  static List<String> fields(String before, String after) {
    List<String> paths = new ArrayList<>();
    try {
      compare("", JsonText.MAPPER.readTree(before), JsonText.MAPPER.readTree(after), paths);
    } catch (JsonProcessingException e) {
      paths.add("(unreadable)");
    }
    return paths.size() > MAX_FIELDS ? paths.subList(0, MAX_FIELDS) : paths;
  }

  private static void compare(String path, JsonNode before, JsonNode after, List<String> paths) {
    if (before.equals(after)) {
      return;
    }
    if (before.isObject() && after.isObject()) {
      Set<String> names = new TreeSet<>();
      for (Iterator<String> it = before.fieldNames(); it.hasNext(); ) {
        names.add(it.next());
      }
      for (Iterator<String> it = after.fieldNames(); it.hasNext(); ) {
        names.add(it.next());
      }
      for (String name : names) {
        String inner = path.isEmpty() ? name : path + "." + name;
        compare(inner, before.path(name), after.path(name), paths);
      }
    } else if (before.isArray() && after.isArray() && before.size() == after.size()) {
      for (int i = 0; i < before.size(); i++) {
        compare(path + "[" + i + "]", before.get(i), after.get(i), paths);
      }
    } else {
      paths.add(path);
    }
  }
}
