package org.marjoramhoist.experiment;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Histories that fail for a fault that is not mended yet; KNOWN-RED.txt lists them. */
@Tag("known-red")
class DispatchKnownRedTest {

  /**
   * A worker that starts again at once has forgotten its fencing token, and obeys an old leader
   * that is still within its contact time.
   */
  @Test
  void noTaskRunsTwiceThoughWorkerForgetsItsToken() {
    new DispatchHistoryTest().noTaskRunsTwiceAtTheSameTime(21_804);
  }
}
