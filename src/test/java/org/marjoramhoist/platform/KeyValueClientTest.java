package org.marjoramhoist.platform;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramhoist.http.HttpCaller;
import org.marjoramhoist.http.LoopbackServer;
import org.marjoramhoist.platform.KeyValueClient.Change;
import org.marjoramhoist.platform.KeyValueClient.Item;

/** Items whose bytes can't be read. */
class KeyValueClientTest {

  private static final String GOOD =
      Base64.getEncoder().encodeToString("good".getBytes(StandardCharsets.UTF_8));
  private static final Item GOOD_ITEM = new Item("p/good", "good", 7);

  private final HttpCaller caller = new HttpCaller("test", 1);
  private String items = "";
  private final LoopbackServer server =
      new LoopbackServer(
          "127.0.0.1:0",
          exchange -> {
            String field = exchange.getRequestPath().endsWith("watch") ? "events" : "items";
            String body = "{\"" + field + "\":[" + items + "],\"asOf\":9}";
            exchange.getResponseSender().send(body);
          });

  @AfterEach
  void close() {
    server.close();
    caller.close();
  }

  private static String item(String key, String value) {
    return "{\"key\":\"" + key + "\",\"value\":" + value + ",\"revision\":7}";
  }

  /** The value is not absent, as that would say that the key was deleted. */
  @ParameterizedTest
  @ValueSource(
      strings = {"null", "7", "{}", "[]", "\"*\"", "\"a\"", "\"/w==\"", "\"7aCA\"", "\"wIA=\""})
  void unreadableValueIsEmpty(String value) {
    assertThatOddIsEmpty(item("p/odd", value));
  }

  @Test
  void missingValueIsEmpty() {
    assertThatOddIsEmpty("{\"key\":\"p/odd\",\"revision\":7}");
  }

  /** A leader that held all pages before it used the first lacked the memory for them. */
  @Test
  void itemsArePassedOnBeforeTheNextPageIsAskedFor() {
    AtomicInteger passedOn = new AtomicInteger();
    List<Integer> passedOnAtRequest = new CopyOnWriteArrayList<>();
    try (LoopbackServer pages =
        new LoopbackServer(
            "127.0.0.1:0",
            exchange -> {
              passedOnAtRequest.add(passedOn.get());
              int page = passedOnAtRequest.size();
              String next = item("p/" + page, "\"" + GOOD + "\"");
              String body = "{\"items\":[" + next + "],\"hasMore\":" + (page < 3) + ",\"asOf\":9}";
              exchange.getResponseSender().send(body);
            })) {
      KeyValueClient client = new KeyValueClient(pages.address(), caller, 2_000);
      assertThat(client.readEach("p/", item -> passedOn.incrementAndGet()).join()).isEqualTo(9);
    }
    assertThat(passedOnAtRequest).containsExactly(0, 1, 2).inOrder();
    assertThat(passedOn.get()).isEqualTo(3);
  }

  private void assertThatOddIsEmpty(String odd) {
    items = odd + "," + item("p/good", "\"" + GOOD + "\"");
    KeyValueClient client = new KeyValueClient(server.address(), caller, 2_000);
    List<Item> expected = List.of(new Item("p/odd", "", 7), GOOD_ITEM);
    assertThat(client.readAll("p/").join().items()).isEqualTo(expected);
    assertThat(client.watch("p/", 1, 1).join().changes())
        .isEqualTo(expected.stream().map(Change::new).toList());
  }
}
