package org.marjoramhoist.json;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Values that are too deep or too long to be worked with. */
class JsonTextTest {

  private static final int STACK_BYTES = 256 * 1024;

  @ParameterizedTest
  @ValueSource(ints = {150, 990, 1_001, 60_000, 1_000_000})
  void deepValueIsRefused(int depth) {
    String array = "[".repeat(depth) + "]".repeat(depth);
    String object = "{\"a\":".repeat(depth) + "1" + "}".repeat(depth);
    for (String text : new String[] {array, object, "[".repeat(depth)}) {
      assertThrows(IOException.class, () -> JsonText.MAPPER.readTree(text));
      assertThrows(IOException.class, () -> JsonText.MAPPER.readValue(text, Map.class));
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"9", "-9", "0.9", "1e9"})
  void longNumberIsRefused(String start) {
    String text = start + "9".repeat(100_000);
    assertThrows(IOException.class, () -> JsonText.MAPPER.readTree(text));
    assertThrows(IOException.class, () -> JsonText.MAPPER.readValue(text, Long.class));
  }

  /** What may be read must be of use to a thread with a small stack. */
  @ParameterizedTest
  @ValueSource(ints = {10, 90, 990})
  void valueThatIsReadCanBeUsed(int depth) throws InterruptedException {
    String text = "{\"a\":".repeat(depth) + "1" + "}".repeat(depth);
    Throwable[] failure = new Throwable[1];
    Thread thread = new Thread(null, () -> failure[0] = use(text), "small", STACK_BYTES);
    thread.start();
    thread.join();
    assertThat(failure[0]).isNull();
  }

  private static Throwable use(String text) {
    try {
      JsonNode node = JsonText.MAPPER.readTree(text);
      JsonNode copy = node.deepCopy();
      assertThat(copy.equals(node)).isTrue();
      assertThat(copy.hashCode()).isEqualTo(node.hashCode());
      assertThat(JsonText.MAPPER.readTree(node.toPrettyString()).equals(node)).isTrue();
      Map<?, ?> map = JsonText.MAPPER.convertValue(node, Map.class);
      assertThat(JsonText.of(map)).isEqualTo(text);
      assertThat(map.toString()).isNotEmpty();
      return null;
    } catch (IOException e) {
      return null;
    } catch (Throwable e) {
      return e;
    }
  }
}
