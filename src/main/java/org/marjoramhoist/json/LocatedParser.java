package org.marjoramhoist.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses JSON with comments into nodes that know their lines.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class LocatedParser {

  private static final int MAX_DEPTH = 32;

  private static final JsonFactory FACTORY =
      new JsonFactoryBuilder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
          .build();

  private LocatedParser() {}

  /**
   * Parses a text that holds exactly one value.
   *
   * @return the value, or null if a fault was added to the problems
   */
  static LocatedNode parse(String text, Problems problems) {
    try (JsonParser parser = FACTORY.createParser(text)) {
      if (parser.nextToken() == null) {
        problems.add(1, "", "the document is empty; an object was expected");
        return null;
      }
      LocatedNode root = read(parser);
      if (parser.nextToken() != null) {
        problems.add(line(parser), "", "more text follows the end of the document");
        return null;
      }
      return root;
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
      problems.add(Math.max(1, line), "", "not valid JSON: " + firstLine(e.getOriginalMessage()));
      return null;
    } catch (IOException e) {
      problems.add(1, "", "can't be read: " + e.getMessage());
      return null;
    }
  }

  private static LocatedNode read(JsonParser parser) throws IOException {
    int line = line(parser);
    JsonToken token = parser.currentToken();
    return switch (token) {
      case START_OBJECT -> new LocatedNode(line, readObject(parser));
      case START_ARRAY -> new LocatedNode(line, readArray(parser));
      case VALUE_STRING -> new LocatedNode(line, checked(parser.getText(), parser));
      case VALUE_TRUE -> new LocatedNode(line, Boolean.TRUE);
      case VALUE_FALSE -> new LocatedNode(line, Boolean.FALSE);
      case VALUE_NULL -> new LocatedNode(line, null);
      case VALUE_NUMBER_INT -> new LocatedNode(line, parser.getLongValue());
      case VALUE_NUMBER_FLOAT -> new LocatedNode(line, parser.getDoubleValue());
      default -> throw new IOException("unexpected " + token);
    };
  }

  private static String checked(String text, JsonParser parser) throws IOException {
    if (!Utf8.canHold(text)) {
      throw new JsonParseException(parser, "a string " + Utf8.UNPAIRED_SURROGATE);
    }
    return text;
  }

  private static Map<String, LocatedNode> readObject(JsonParser parser) throws IOException {
    Map<String, LocatedNode> fields = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = checked(parser.currentName(), parser);
      parser.nextToken();
      fields.put(name, read(parser));
    }
    return fields;
  }

  private static List<LocatedNode> readArray(JsonParser parser) throws IOException {
    List<LocatedNode> items = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(read(parser));
    }
    return items;
  }

  private static int line(JsonParser parser) {
    return parser.currentTokenLocation().getLineNr();
  }

  private static String firstLine(String text) {
    int end = text.indexOf('\n');
    return end < 0 ? text : text.substring(0, end);
  }
}
