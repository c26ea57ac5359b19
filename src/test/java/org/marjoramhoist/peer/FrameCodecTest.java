package org.marjoramhoist.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.marjoramhoist.dispatch.RetryForecast;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.PeerMessage;
import org.marjoramhoist.message.PeerMessage.ClaimEntry;
import org.marjoramhoist.model.ClassId;
import org.marjoramhoist.model.HostRef;
import org.marjoramhoist.model.JobAnswer;
import org.marjoramhoist.model.JobSpec;
import org.marjoramhoist.model.SubmissionId;
import org.marjoramhoist.model.TaskId;
import org.marjoramhoist.model.TaskResult;
import org.marjoramhoist.model.TaskSpec;
import org.marjoramhoist.model.TeamId;
import org.marjoramhoist.model.WorkerId;
import org.marjoramhoist.platform.standin.SampleDocuments;

class FrameCodecTest {

  private static final SubmissionId ID = new SubmissionId("s");

  private static List<PeerMessage> samples() {
    ClaimEntry entry = new ClaimEntry(ID, "digest", HostRef.parse("h/1"), 2, 3);
    JobSpec job =
        new JobSpec(
            ID,
            new TeamId("t"),
            "c",
            new ClassId("k"),
            9,
            List.of(new TaskSpec(new TaskId("1"), "p", 0, true)),
            "digest");
    JobAnswer answer =
        JobAnswer.complete(ID, List.of(new TaskResult(new TaskId("1"), "v", new WorkerId("w"), 5)));
    return List.of(
        new PeerMessage.ClaimRequest(1, "d/0", entry),
        new PeerMessage.ClaimReply(1, PeerMessage.ClaimVerdict.TAKEN, entry),
        new PeerMessage.ClaimReply(1, PeerMessage.ClaimVerdict.NOT_OWNER, null),
        new PeerMessage.Replicate("d/0", 1, 2, entry, true),
        new PeerMessage.Snapshot("d/0", 1, 0, 1, List.of(entry)),
        new PeerMessage.Forward(4, ID, job, true),
        new PeerMessage.Forward(4, ID, null, false),
        new PeerMessage.ForwardReply(4, answer));
  }

  @Example
  void readsBackWhatItWrote() throws IOException {
    for (PeerMessage message : samples()) {
      assertThat(FrameCodec.decode(FrameCodec.encode(message), PeerMessage.class))
          .isEqualTo(message);
    }
  }

  /** Guards against texts that reach the other host with other letters, names of keys included. */
  @Example
  void keepsLettersWhateverTheDefaultCharset() throws IOException {
    for (String text : List.of(SampleDocuments.LETTERS, SampleDocuments.LETTERS.repeat(50))) {
      HostMessage.Heartbeat heartbeat =
          new HostMessage.Heartbeat(7, text, 3, 5, Map.of(text, 2), 0.5, 99, RetryForecast.NONE);
      assertThat(FrameCodec.decode(FrameCodec.encode(heartbeat), HostMessage.class))
          .isEqualTo(heartbeat);
    }
  }

  @Example
  void refusesLengthsOutOfBounds() {
    byte[] tooLong = {0x7f, 0, 0, 0};
    byte[] negative = {(byte) 0xff, 0, 0, 0};
    byte[] brokenOff = {0, 0, 0, 9, 1};
    for (byte[] bytes : List.of(tooLong, negative, brokenOff)) {
      DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
      assertThrows(IOException.class, () -> FrameCodec.read(in));
    }
  }

  @Property(tries = 3_000, seed = "1")
  void anyBytesAreReadOrRefused(@ForAll byte[] bytes) {
    readOrRefuse(bytes);
  }

  @Property(tries = 3_000, seed = "2")
  void damagedMessagesAreReadOrRefused(
      @ForAll @IntRange(max = 7) int sample, @ForAll int place, @ForAll byte value)
      throws IOException {
    byte[] bytes = FrameCodec.encode(samples().get(sample));
    bytes[Math.floorMod(place, bytes.length)] = value;
    readOrRefuse(bytes);
  }

  private static void readOrRefuse(byte[] bytes) {
    try {
      assertThat(FrameCodec.decode(bytes, PeerMessage.class)).isNotNull();
    } catch (IOException e) {
      assertThat(e).hasMessageThat().isNotNull();
    }
  }
}
