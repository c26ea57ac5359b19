package org.marjoramhoist.job;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.WorkerInfo;

/** Checks the explicitly implemented equals and hashCode methods of value types. */
class ValueTypesTest {

  private static final JobId JOB = new JobId("00000000000000a1");
  private static final TaskRef TASK = new TaskRef(JOB, 1, 2);
  private static final Resources RESOURCES = new Resources(1, 2, 3);
  private static final Set<String> LABELS = Set.of("a");

  private static void assertAllDistinct(List<Object> values) {
    for (int i = 0; i < values.size(); i++) {
      for (int j = 0; j < values.size(); j++) {
        assertThat(values.get(i).equals(values.get(j))).isEqualTo(i == j);
      }
    }
  }

  private static void assertEqualValues(Object one, Object other) {
    assertThat(one).isEqualTo(other);
    assertThat(one.hashCode()).isEqualTo(other.hashCode());
  }

  @Test
  void jobsTasksAndRuns() {
    final JobId otherJob = new JobId("00000000000000a2");
    assertEqualValues(JOB, new JobId("00000000000000a1"));
    assertEqualValues(TASK, new TaskRef(new JobId("00000000000000a1"), 1, 2));
    assertEqualValues(new RunRef(TASK, 7), new RunRef(new TaskRef(JOB, 1, 2), 7));
    assertAllDistinct(
        List.of(
            JOB,
            otherJob,
            TASK,
            new TaskRef(otherJob, 1, 2),
            new TaskRef(JOB, 2, 2),
            new TaskRef(JOB, 1, 3),
            new RunRef(TASK, 7),
            new RunRef(TASK, 8),
            new RunRef(new TaskRef(JOB, 1, 3), 7)));
  }

  @Test
  void resources() {
    assertEqualValues(RESOURCES, new Resources(1, 2, 3));
    assertAllDistinct(
        List.of(RESOURCES, new Resources(9, 2, 3), new Resources(1, 9, 3), new Resources(1, 2, 9)));
  }

  @Test
  void workers() {
    assertEqualValues(
        new WorkerInfo("w", "u", "1", "d", RESOURCES, "k", "r", LABELS, false, 1),
        new WorkerInfo(
            "w", "u", "1", "d", new Resources(1, 2, 3), "k", "r", Set.of("a"), false, 1));
    assertAllDistinct(
        List.of(
            new WorkerInfo("w", "u", "1", "d", RESOURCES, "k", "r", LABELS, false, 1),
            new WorkerInfo("x", "u", "1", "d", RESOURCES, "k", "r", LABELS, false, 1),
            new WorkerInfo("w", "x", "1", "d", RESOURCES, "k", "r", LABELS, false, 1),
            new WorkerInfo("w", "u", "x", "d", RESOURCES, "k", "r", LABELS, false, 1),
            new WorkerInfo("w", "u", "1", "x", RESOURCES, "k", "r", LABELS, false, 1),
            new WorkerInfo("w", "u", "1", "d", new Resources(9, 2, 3), "k", "r", LABELS, false, 1),
            new WorkerInfo("w", "u", "1", "d", RESOURCES, "x", "r", LABELS, false, 1),
            new WorkerInfo("w", "u", "1", "d", RESOURCES, "k", "x", LABELS, false, 1),
            new WorkerInfo("w", "u", "1", "d", RESOURCES, "k", "r", Set.of("x"), false, 1),
            new WorkerInfo("w", "u", "1", "d", RESOURCES, "k", "r", LABELS, true, 1),
            new WorkerInfo("w", "u", "1", "d", RESOURCES, "k", "r", LABELS, false, 2),
            new WorkerInfo(
                "w",
                "u",
                "1",
                "d",
                RESOURCES,
                new Resources(9, 2, 3),
                "k",
                "r",
                LABELS,
                false,
                1,
                0,
                0)));
  }
}
