package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.JobCallKind;
import org.marjoramhoist.dispatch.JobCallResult;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobFeature;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobStatus;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.HostMessage.JobCall;
import org.marjoramhoist.message.HostMessage.JobCallReply;

class JobCallsTest {

  private static final JobId ID = new JobId("00000000000000aa");
  private static final long TIMEOUT_MICROS = 10_000_000;

  private final List<JobCall> sent = new ArrayList<>();
  private final List<JobCallResult> results = new ArrayList<>();
  private final LeaderTracker leaderTracker = new LeaderTracker();
  private final RecentResults recentResults = new RecentResults();

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

  private void cancelJob(JobCalls calls, long timeoutMicros) {
    long now = EventLoop.now();
    calls.request(
        JobCallKind.CANCEL, ID, now, now + timeoutMicros, reply -> results.add(reply.result()));
  }

  @Test
  void replyToCallOfEarlierProcessIsIgnored() {
    JobCalls earlier = new JobCalls(leaderTracker, 1_000, recentResults);
    leaderTracker.leaderFound(leader(1));
    cancelJob(earlier, TIMEOUT_MICROS);
    final long earlierCall = sent.get(0).call();
    JobCalls later = new JobCalls(leaderTracker, 3_000, recentResults);
    cancelJob(later, TIMEOUT_MICROS);
    later.replied(new JobCallReply(earlierCall, JobCallResult.DONE, JobStatus.CANCELLED, 0));
    assertThat(results).isEmpty();
    later.replied(new JobCallReply(sent.get(1).call(), JobCallResult.DONE, JobStatus.CANCELLED, 0));
    assertThat(results).containsExactly(JobCallResult.DONE);
  }

  @Test
  void callsAreResentToLaterLeaders() {
    JobCalls calls = new JobCalls(leaderTracker, 1_000, recentResults);
    LeaderChannel first = leader(1);
    leaderTracker.leaderFound(first);
    cancelJob(calls, TIMEOUT_MICROS);
    leaderTracker.leaderLost(first);
    leaderTracker.leaderFound(leader(2));
    assertThat(sent).hasSize(2);
    assertThat(sent.get(1).call()).isEqualTo(sent.get(0).call());
  }

  /** Guards against a job that is stored after its caller was told that it was refused. */
  @Test
  void refusalIsNotReportedWhileCallSentAgainIsOnItsWay() {
    JobCalls calls = new JobCalls(leaderTracker, 1_000, recentResults);
    leaderTracker.leaderFound(leader(1));
    submitJob(calls, TIMEOUT_MICROS);
    leaderTracker.leaderFound(leader(1));
    calls.replied(answer(JobCallResult.REFUSED, sent.get(0)));
    assertThat(results).isEmpty();
    calls.replied(answer(JobCallResult.REFUSED, sent.get(1)));
    assertThat(results).containsExactly(JobCallResult.REFUSED);
  }

  /** Guards against a job that is stored after a later try of its caller was refused here. */
  @Test
  void laterTryIsNotRefusedWhileEarlierOneMayBeAccepted() {
    JobCalls calls = new JobCalls(leaderTracker, 1_000, recentResults);
    LeaderChannel lost = leader(1);
    leaderTracker.leaderFound(lost);
    submitJob(calls, -1);
    calls.tick();
    leaderTracker.leaderLost(lost);
    submitJob(calls, -1);
    calls.tick();
    assertThat(results).containsExactly(JobCallResult.UNKNOWN, JobCallResult.UNKNOWN);
  }

  @Test
  void laterTryIsRefusedOnceEarlierOneIs() {
    JobCalls calls = new JobCalls(leaderTracker, 1_000, recentResults);
    LeaderChannel lost = leader(1);
    leaderTracker.leaderFound(lost);
    submitJob(calls, TIMEOUT_MICROS);
    calls.replied(answer(JobCallResult.REFUSED, sent.get(0)));
    leaderTracker.leaderLost(lost);
    submitJob(calls, -1);
    calls.tick();
    assertThat(results).containsExactly(JobCallResult.REFUSED, JobCallResult.REFUSED);
  }

  private void submitJob(JobCalls calls, long timeoutMicros) {
    long now = EventLoop.now();
    JobDescription job = new JobDescription(ID, "p", List.of(), Set.<JobFeature>of());
    calls.submit(job, null, now, now + timeoutMicros, reply -> results.add(reply.result()));
  }

  private static JobCallReply answer(JobCallResult result, JobCall call) {
    return new JobCallReply(call.call(), result, null, 0, call.sentCount());
  }

  @Test
  void leaderLostWhileCallsAreSentGetsNoMoreCalls() {
    JobCalls calls = new JobCalls(leaderTracker, 1_000, recentResults);
    cancelJob(calls, TIMEOUT_MICROS);
    cancelJob(calls, TIMEOUT_MICROS);
    leaderTracker.leaderFound(
        new LeaderChannel() {
          @Override
          public long term() {
            return 1;
          }

          @Override
          public void send(HostMessage message) {
            sent.add((JobCall) message);
            leaderTracker.leaderLost(this);
          }
        });
    assertThat(sent).hasSize(1);
    leaderTracker.leaderFound(leader(2));
    assertThat(sent).hasSize(3);
  }

  /** Sending the open jobs, which comes first, may detect that the new link is lost again. */
  @Test
  void leaderLostBeforeCallsAreSentGetsNone() {
    boolean[] losesLeader = {false};
    leaderTracker.onLeaderFound(
        () -> {
          if (losesLeader[0]) {
            leaderTracker.leaderLost(leaderTracker.partitionLeader());
          }
        });
    JobCalls calls = new JobCalls(leaderTracker, 1_000, recentResults);
    leaderTracker.leaderFound(leader(1));
    cancelJob(calls, TIMEOUT_MICROS);
    losesLeader[0] = true;
    leaderTracker.leaderFound(leader(1));
    assertThat(sent).hasSize(1);
  }

  @Test
  void onlyUnsentCallsAreReportedAsRefused() {
    JobCalls calls = new JobCalls(leaderTracker, 1_000, recentResults);
    cancelJob(calls, -1);
    calls.tick();
    leaderTracker.leaderFound(leader(1));
    cancelJob(calls, -1);
    calls.tick();
    assertThat(results).containsExactly(JobCallResult.REFUSED, JobCallResult.UNKNOWN).inOrder();
  }
}
