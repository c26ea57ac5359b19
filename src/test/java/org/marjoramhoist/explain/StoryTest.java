package org.marjoramhoist.explain;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;

class StoryTest {

  private final List<LogLine> log = new ArrayList<>();

  private void line(String host, int second, int millis, String event, String detail) {
    String json =
        String.format(
            Locale.ROOT,
            "{\"time\":\"2026-01-01T00:00:%02d.%03dZ\",\"event\":\"%s\",\"detail\":\"%s\"}",
            second,
            millis,
            event,
            detail);
    log.add(LogLine.parse("file", "  1.5 " + host + " " + json).orElseThrow());
  }

  private List<String> events(String id) {
    return Story.of(log, id).lines().stream().map(l -> l.host() + " " + l.event()).toList();
  }

  @Test
  void tellsJobInOrderOfTimeWithWhatHappenedAround() {
    line("b", 10, 500, "JOB_ANSWERED", "job=aa outcome=REFUSED");
    line("a", 10, 400, "JOB_REFUSED", "job=aa reason=no room in time");
    line("a", 9, 0, "LEADER_ELECTED", "term=7");
    line("a", 5, 0, "LEADER_ELECTED", "term=6");
    line("a", 10, 450, "JOB_REFUSED", "job=aab reason=another job");
    assertThat(events("aa")).containsExactly("a LEADER_ELECTED", "a JOB_REFUSED", "b JOB_ANSWERED");
    assertThat(Story.of(log, "aa").clocks()).isEmpty();
  }

  @Test
  void namesClocksThatDisagree() {
    line("b", 10, 300, "JOB_ANSWERED", "job=aa outcome=REFUSED");
    line("a", 10, 400, "JOB_REFUSED", "job=aa reason=no room in time");
    assertThat(Story.of(log, "aa").clocks())
        .containsExactly("the clock of a is ahead of b by 100 ms or more");
  }

  @Test
  void knowsNothingOfJobsWithoutEvents() {
    line("a", 10, 400, "JOB_REFUSED", "job=aa reason=no room in time");
    assertThat(Story.of(log, "bb").lines()).isEmpty();
  }

  @Test
  void leavesOutWhatIsNoEvent() {
    assertThat(LogLine.parse("f", "no event")).isEmpty();
    assertThat(LogLine.parse("f", "{broken")).isEmpty();
    assertThat(LogLine.parse("f", "{\"event\":\"X\",\"time\":\"yesterday\"}")).isEmpty();
    assertThat(LogLine.parse("f", "{\"event\":\"X\",\"time\":\"2026-01-01T00:00:00Z\"}"))
        .isPresent();
  }
}
