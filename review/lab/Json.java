import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer for the stand-ins. Stateless and thread-safe. */
final class Json {

  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.skipSpace();
    if (json.at != text.length()) {
      throw new IllegalArgumentException("text after the value at " + json.at);
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  static String text(Map<String, Object> object, String field) {
    Object value = object.get(field);
    return value == null ? "" : value.toString();
  }

  static long number(Map<String, Object> object, String field) {
    Object value = object.get(field);
    return value == null ? 0 : ((Number) value).longValue();
  }

  @SuppressWarnings("unchecked")
  static List<Object> list(Map<String, Object> object, String field) {
    Object value = object.get(field);
    return value == null ? List.of() : (List<Object>) value;
  }

  private void skipSpace() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private char next() {
    skipSpace();
    return text.charAt(at);
  }

  private void expect(char c) {
    if (next() != c) {
      throw new IllegalArgumentException("expected " + c + " at " + at);
    }
    at++;
  }

  private Object value() {
    char c = next();
    if (c == '{') {
      return objectValue();
    }
    if (c == '[') {
      return listValue();
    }
    if (c == '"') {
      return stringValue();
    }
    int end = at;
    while (end < text.length() && ",]} \t\r\n".indexOf(text.charAt(end)) < 0) {
      end++;
    }
    String word = text.substring(at, end);
    at = end;
    return switch (word) {
      case "true" -> Boolean.TRUE;
      case "false" -> Boolean.FALSE;
      case "null" -> null;
      default -> word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
    };
  }

  private Map<String, Object> objectValue() {
    Map<String, Object> result = new LinkedHashMap<>();
    expect('{');
    while (next() != '}') {
      String name = stringValue();
      expect(':');
      result.put(name, value());
      if (next() == ',') {
        at++;
      }
    }
    at++;
    return result;
  }

  private List<Object> listValue() {
    List<Object> result = new ArrayList<>();
    expect('[');
    while (next() != ']') {
      result.add(value());
      if (next() == ',') {
        at++;
      }
    }
    at++;
    return result;
  }

  private String stringValue() {
    expect('"');
    StringBuilder out = new StringBuilder();
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c != '\\') {
        out.append(c);
        continue;
      }
      char escaped = text.charAt(at++);
      switch (escaped) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> out.append(escaped);
      }
    }
    at++;
    return out.toString();
  }

  static String quote(String value) {
    StringBuilder out = new StringBuilder("\"");
    for (char c : value.toCharArray()) {
      if (c == '"' || c == '\\') {
        out.append('\\').append(c);
      } else if (c < ' ') {
        out.append(String.format("\\u%04x", (int) c));
      } else {
        out.append(c);
      }
    }
    return out.append('"').toString();
  }

  static String write(Object value) {
    if (value instanceof Map<?, ?> map) {
      StringBuilder out = new StringBuilder("{");
      map.forEach(
          (name, each) ->
              out.append(out.length() > 1 ? "," : "")
                  .append(quote(name.toString()))
                  .append(':')
                  .append(write(each)));
      return out.append('}').toString();
    }
    if (value instanceof List<?> list) {
      StringBuilder out = new StringBuilder("[");
      list.forEach(each -> out.append(out.length() > 1 ? "," : "").append(write(each)));
      return out.append(']').toString();
    }
    return value instanceof String string ? quote(string) : String.valueOf(value);
  }
}
