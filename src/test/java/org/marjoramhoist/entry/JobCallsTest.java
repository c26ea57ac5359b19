package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.JobCallKind;
import org.marjoramhoist.dispatch.JobCallResult;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.HostMessage.JobCall;
import org.marjoramhoist.message.HostMessage.JobCallReply;

class JobCallsTest {

  private static final JobId ID = new JobId("00000000000000aa");
  private static final long PATIENCE_MICROS = 10_000_000;

  private final List<JobCall> sent = new ArrayList<>();
  private final List<JobCallResult> ends = new ArrayList<>();
  private final LeaderTracker reach = new LeaderTracker();

  private LeaderChannel leader(long term) {
    return new LeaderChannel() {
      @Override
      public long term() {
        return term;
      }

      @Override
      public void send(HostMessage message) {
        sent.add((JobCall) message);
      }
    };
  }

  private void ask(JobCalls calls, long patienceMicros) {
    long now = EventLoop.now();
    calls.ask(
        JobCallKind.CANCEL, ID, now, now + patienceMicros, answer -> ends.add(answer.result()));
  }

  @Test
  void answerToCallOfAnEarlierLifeIsNotTakenForAnother() {
    JobCalls earlier = new JobCalls(reach, 1_000);
    reach.leaderFound(leader(1));
    ask(earlier, PATIENCE_MICROS);
    final long old = sent.get(0).call();
    JobCalls later = new JobCalls(reach, 3_000);
    ask(later, PATIENCE_MICROS);
    later.replied(new JobCallReply(old, JobCallResult.DONE, JobStatus.CANCELLED, 0));
    assertThat(ends).isEmpty();
    later.replied(new JobCallReply(sent.get(1).call(), JobCallResult.DONE, JobStatus.CANCELLED, 0));
    assertThat(ends).containsExactly(JobCallResult.DONE);
  }

  @Test
  void callsAreSentAgainToLaterLeaders() {
    JobCalls calls = new JobCalls(reach, 1_000);
    LeaderChannel first = leader(1);
    reach.leaderFound(first);
    ask(calls, PATIENCE_MICROS);
    reach.leaderLost(first);
    reach.leaderFound(leader(2));
    assertThat(sent).hasSize(2);
    assertThat(sent.get(1).call()).isEqualTo(sent.get(0).call());
  }

  @Test
  void leaderThatIsLostWhileCallsAreSentGetsNoMore() {
    JobCalls calls = new JobCalls(reach, 1_000);
    ask(calls, PATIENCE_MICROS);
    ask(calls, PATIENCE_MICROS);
    reach.leaderFound(
        new LeaderChannel() {
          @Override
          public long term() {
            return 1;
          }

          @Override
          public void send(HostMessage message) {
            sent.add((JobCall) message);
            reach.leaderLost(this);
          }
        });
    assertThat(sent).hasSize(1);
    reach.leaderFound(leader(2));
    assertThat(sent).hasSize(3);
  }

  @Test
  void onlyCallsThatNoLeaderSawAreCalledNotCarriedOut() {
    JobCalls calls = new JobCalls(reach, 1_000);
    ask(calls, -1);
    calls.tick();
    reach.leaderFound(leader(1));
    ask(calls, -1);
    calls.tick();
    assertThat(ends).containsExactly(JobCallResult.REFUSED, JobCallResult.UNKNOWN).inOrder();
  }
}
