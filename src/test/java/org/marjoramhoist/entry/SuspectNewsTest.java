package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.SuspectTask;
import org.marjoramhoist.dispatch.WorkerLoss;
import org.marjoramhoist.job.JobId;

class SuspectNewsTest {

  private static final List<SuspectTask> ONE =
      List.of(
          new SuspectTask(
              new JobId("00000000000000aa"),
              0,
              0,
              List.of(new WorkerLoss(1, "w", false, true, WorkerLoss.Evidence.REFUSED))));

  private final SuspectNews news = new SuspectNews();

  @Test
  void tellsChangesAtOnceAndRepeatsThemForHostsThatMissedThem() {
    assertThat(news.due(List.of(), 10)).isNull();
    assertThat(news.due(ONE, 20)).isEqualTo(ONE);
    assertThat(news.due(ONE, 30)).isNull();
    assertThat(news.due(ONE, 1_100_000)).isEqualTo(ONE);
    assertThat(news.due(List.of(), 1_200_000)).isEmpty();
    assertThat(news.due(List.of(), 9_000_000)).isNull();
  }
}
