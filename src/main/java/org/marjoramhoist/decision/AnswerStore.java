package org.marjoramhoist.decision;

import java.util.LinkedHashMap;
import java.util.Map;
import org.marjoramhoist.model.JobAnswer;
import org.marjoramhoist.model.SubmissionId;
import org.marjoramhoist.model.TaskResult;

/**
 * Keeps the answers of ended jobs within a bound of bytes; the oldest go first.
 *
 * <p>Confined to one thread.
 */
final class AnswerStore {

  private static final long BYTES_PER_ANSWER = 200;
  private static final long BYTES_PER_RESULT = 120;

  private final long maxBytes;
  private final Map<SubmissionId, JobAnswer> answers = new LinkedHashMap<>();
  private long bytes;

  AnswerStore(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  void put(SubmissionId id, JobAnswer answer) {
    remove(id);
    answers.put(id, answer);
    bytes += sizeOf(answer);
    var oldest = answers.entrySet().iterator();
    while (bytes > maxBytes && oldest.hasNext()) {
      bytes -= sizeOf(oldest.next().getValue());
      oldest.remove();
    }
  }

  JobAnswer get(SubmissionId id) {
    return answers.get(id);
  }

  void remove(SubmissionId id) {
    JobAnswer answer = answers.remove(id);
    if (answer != null) {
      bytes -= sizeOf(answer);
    }
  }

  private static long sizeOf(JobAnswer answer) {
    long size = BYTES_PER_ANSWER + answer.detail().length();
    for (TaskResult result : answer.results()) {
      size += BYTES_PER_RESULT + result.value().length();
    }
    return size;
  }
}
