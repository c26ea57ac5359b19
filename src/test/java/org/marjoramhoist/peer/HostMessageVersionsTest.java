package org.marjoramhoist.peer;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.RetryForecast;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.HostMessage.Heartbeat;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Hosts of two versions, of which one has fields that the other one has not. */
class HostMessageVersionsTest {

  private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());
  private static final RetryForecast FORECAST = new RetryForecast(3_000, 4_000);
  private static final Heartbeat HEARTBEAT =
      new Heartbeat(7, "h", 3, 5, Map.of("check", 2), 0.5, 99, FORECAST);

  private static ArrayNode tree() throws IOException {
    return (ArrayNode) MAPPER.readTree(FrameCodec.encode(HEARTBEAT));
  }

  private static HostMessage read(ArrayNode tree) throws IOException {
    return FrameCodec.decode(MAPPER.writeValueAsBytes(tree), HostMessage.class);
  }

  @Test
  void readsBackTheForecast() throws IOException {
    assertThat(FrameCodec.decode(FrameCodec.encode(HEARTBEAT), HostMessage.class))
        .isEqualTo(HEARTBEAT);
  }

  /** A leader of an earlier version tells no forecast; its heartbeats must count all the same. */
  @Test
  void readsHeartbeatWithoutForecast() throws IOException {
    ArrayNode tree = tree();
    ((ObjectNode) tree.get(1)).remove("returns");
    assertThat(read(tree))
        .isEqualTo(new Heartbeat(7, "h", 3, 5, Map.of("check", 2), 0.5, 99, RetryForecast.NONE));
  }

  /** A host of an earlier version doesn't know the newest field. */
  @Test
  void passesOverFieldsThatItDoesNotKnow() throws IOException {
    ArrayNode tree = tree();
    ((ObjectNode) tree.get(1)).putObject("ofALaterVersion").put("field", 1);
    assertThat(read(tree)).isEqualTo(HEARTBEAT);
  }
}
