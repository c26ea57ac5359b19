package org.marjoramhoist.platform;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.management.ThreadMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramhoist.dispatch.WorkerInfo;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.json.JsonText;

/** Entries that another writer left among those of the workers. */
class OddWorkerEntryTest {

  private static final String ENTRY =
      """
      {"service":"reviews","address":"10.0.0.1:80","zone":"north","version":"v1","slots":8,
       "state":"ready","warmupLeftMs":0,"born":1700000000123,
       "capacity":{"cpu":16000,"memMb":32768,"gpu":1},"labels":["a","r1-3"],"clockMs":9,"seq":4}
      """;

  /** Replaced by the odd value in a text that no tree can hold. */
  private static final String MARK = "\"<value>\"";

  private record Odd(String field, String value) {}

  private static Stream<Odd> all(List<String> fields, List<String> values) {
    return fields.stream().flatMap(field -> values.stream().map(value -> new Odd(field, value)));
  }

  private static String nested(int depth) {
    return "[".repeat(depth) + "]".repeat(depth);
  }

  private static List<String> ofOtherType() {
    return List.of("null", "[]", "{}", "true", nested(990), nested(1_001), nested(60_000));
  }

  private static List<String> oddNumbers() {
    return List.of(
        "99999999999999999999999999",
        "9".repeat(100_000),
        "-99999999999999999999999999",
        "1e400",
        "1e999999999",
        "NaN",
        "9223372036854775807",
        "4000000000000000000",
        "\"5\"");
  }

  static Stream<Odd> oddFields() {
    List<String> numbers = List.of("born", "capacity/cpu", "capacity/memMb", "capacity/gpu");
    List<String> texts = List.of("service", "address", "zone", "state");
    List<String> unusedNumbers = List.of("warmupLeftMs", "slots", "seq", "clockMs");
    return Stream.of(
            all(numbers, ofOtherType()),
            all(numbers, oddNumbers()),
            all(numbers, List.of("-1", "0.5", "1e3")),
            all(unusedNumbers, ofOtherType()),
            all(unusedNumbers, oddNumbers()),
            all(texts, ofOtherType()),
            all(texts, List.of("7", "\"\"", "\"" + "x".repeat(100_000) + "\"")),
            all(List.of("service", "zone"), List.of("\"a\\nb\"", "\"\\u0000\"")),
            all(List.of("state"), List.of("\"odd\"", "\"READY\"")),
            all(List.of("version"), List.of("7", "{}")),
            all(List.of("capacity"), List.of("7", "[]", "null", "{}", "\"16000\"")),
            all(List.of("other"), List.of(nested(990), nested(1_001), nested(500_000))),
            all(List.of("labels"), oddLabels()),
            all(List.of("address"), oddAddresses()))
        .flatMap(each -> each);
  }

  private static List<String> oddLabels() {
    return List.of(
        "null",
        "7",
        "{}",
        "\"a\"",
        "[7]",
        "[null]",
        "[[\"a\"]]",
        "[\"\\ud83d\"]",
        "[\"" + "x".repeat(1_000_000) + "\"]",
        "[\"a\"" + ",\"a\"".repeat(100_000) + "]");
  }

  private static List<String> oddAddresses() {
    List<String> addresses = new ArrayList<>();
    for (String port : List.of("", "0", "00", "65536", "99999", "999999", "-1", "8x", "80 ")) {
      addresses.add("10.0.0.1:" + port);
    }
    for (String host :
        List.of("", "999.1.1.1", "256.0.0.1", "1.2.3", "1.2.3.4.5", "1.2..4", ".", "9", "x.org")) {
      addresses.add(host + ":80");
    }
    addresses.addAll(List.of("10.0.0.1", ":", "[::1]:80", "10.0.0.1:80:80", "10.0.0.1:80\\n"));
    return addresses.stream().map(each -> "\"" + each + "\"").toList();
  }

  private static String entryWith(Odd odd) throws IOException {
    JsonNode root = JsonText.MAPPER.readTree(ENTRY);
    String[] path = odd.field().split("/");
    ObjectNode parent = (ObjectNode) (path.length == 1 ? root : root.get(path[0]));
    parent.put(path[path.length - 1], "<value>");
    return root.toString().replace(MARK, odd.value());
  }

  private static Optional<WorkerInfo> parse(String text) {
    return parse("i-1", text);
  }

  private static Optional<WorkerInfo> parse(String id, String text) {
    try {
      return Optional.of(WorkerEntries.parse(WorkerEntries.PREFIX + id, text));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  @ParameterizedTest
  @MethodSource("oddFields")
  void oddFieldNamesNoWorker(Odd odd) throws IOException {
    assertThat(parse(entryWith(odd))).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"service", "address", "zone", "state", "labels", "capacity", "capacity/cpu"})
  void missingFieldNamesNoWorker(String field) throws IOException {
    String text = entryWith(new Odd(field, MARK)).replaceFirst("\"(\\w+)\":\"<value>\",?", "");
    assertThat(parse(text.replace(",}", "}"))).isEmpty();
  }

  static Stream<String> oddDocuments() {
    return Stream.of(
        "",
        " ",
        "null",
        "7",
        "[]",
        "{}",
        "{",
        "\"text\"",
        "NaN",
        "1e999999999",
        "9".repeat(100_000),
        Character.toString(0xFFFD),
        Character.toString(0),
        "[" + ENTRY + "]",
        nested(990),
        nested(1_001),
        nested(60_000),
        nested(500_000),
        "[".repeat(1_000_000),
        "{\"a\":".repeat(200_000));
  }

  @ParameterizedTest
  @MethodSource("oddDocuments")
  void oddDocumentNamesNoWorker(String text) {
    assertThat(parse(text)).isEmpty();
  }

  @Test
  void absentValueNamesNoWorker() {
    assertThat(parse(null)).isEmpty();
  }

  /** A process of a host has little memory, and a tree takes many times that of its text. */
  @ParameterizedTest
  @ValueSource(strings = {"[]", "{}", "{\"\":0}", "0", "\"\""})
  void longEntryTakesLittleMemory(String item) throws IOException {
    String items = "[" + (item + ",").repeat(1_000_000 / (item.length() + 1)) + item + "]";
    String entry = entryWith(new Odd("other", items));
    assertThat(parse(entry)).isEmpty();
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    long before = threads.getCurrentThreadAllocatedBytes();
    parse(entry);
    assertThat(threads.getCurrentThreadAllocatedBytes() - before).isLessThan(entry.length());
  }

  /** An id is sent to the worker in a header, and is part of a key that the store limits. */
  @Test
  void oddIdNamesNoWorker() {
    for (String id :
        List.of("", "a b", "a\r\nX-Odd: 1", "a" + (char) 0, "a" + (char) 0xE4, "x".repeat(180))) {
      assertThat(parse(id, ENTRY)).isEmpty();
    }
  }

  @Test
  void entryWithUnknownFieldsAndExtremeValuesNamesWorker() throws IOException {
    assertThat(parse(ENTRY)).isPresent();
    assertThat(parse(entryWith(new Odd("future", "{\"a\":[[1e400]]}")))).isPresent();
    for (String address : List.of("0.0.0.1:1", "255.255.255.255:65535")) {
      assertThat(parse(entryWith(new Odd("address", "\"" + address + "\"")))).isPresent();
    }
    String shortest = "{\"cpu\":0,\"memMb\":0}";
    assertThat(parse(entryWith(new Odd("capacity", shortest))).orElseThrow().capacity())
        .isEqualTo(new Resources(0, 0, 0));
    assertThat(parse(entryWith(new Odd("labels", "[]"))).orElseThrow().labels()).isEmpty();
    assertThat(parse(entryWith(new Odd("warmupLeftMs", "-3"))).orElseThrow().warmUpMillis())
        .isEqualTo(0);
    assertThat(parse(ENTRY.replace("\"born\"", "\"other\"")).orElseThrow().bornMillis())
        .isEqualTo(0);
  }
}
