package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.RetryForecast;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobFeature;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.StepSpec;
import org.marjoramhoist.job.SubmissionNumber;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.HostMessage.Finished;
import org.marjoramhoist.message.HostMessage.Submit;
import org.marjoramhoist.message.HostMessage.Withdraw;

/** Tests which leader an entry host sends its jobs to, and which results its callers receive. */
class OpenJobsTest {

  private static final JobId ID = new JobId("00000000000000a1");
  private static final RequestClass CLASS =
      new RequestClass("check", "h", "/p/", "reviews", 0, 3, 1.6, 60, false);
  private static final long TIMEOUT_MICROS = 10_000_000;

  private final LeaderTracker leaderTracker = new LeaderTracker();
  private final OpenJobs jobs = new OpenJobs(leaderTracker);
  private final List<String> sent = new ArrayList<>();
  private final List<SubmissionNumber> numbers = new ArrayList<>();
  private final List<String> withdrawn = new ArrayList<>();
  private final List<Boolean> cancelled = new ArrayList<>();
  private final List<JobOutcome> outcomes = new ArrayList<>();

  private LeaderChannel leaderChannel(String name, long term) {
    return new LeaderChannel() {
      @Override
      public long term() {
        return term;
      }

      @Override
      public void send(HostMessage message) {
        if (message instanceof Submit submit) {
          sent.add(name + " " + submit.job().id());
          numbers.add(submit.number());
        } else if (message instanceof Withdraw withdrawal) {
          withdrawn.add(name + " " + withdrawal.job());
          cancelled.add(withdrawal.cancelled());
        }
      }
    };
  }

  private void submit(JobId id) {
    JobDescription job = new JobDescription(id, "p", List.of(), Set.<JobFeature>of());
    long now = EventLoop.now();
    jobs.submit(job, CLASS, now, now + TIMEOUT_MICROS, result -> outcomes.add(result.outcome()));
  }

  private static Finished result(JobOutcome outcome) {
    return new Finished(ID, outcome, "test", 0);
  }

  private void refuse() {
    jobs.refuse(ID, "the host stops", 1_000, result -> outcomes.add(result.outcome()));
  }

  private Consumer<Finished> submitFor(List<JobOutcome> received) {
    JobDescription job = new JobDescription(ID, "p", List.of(), Set.<JobFeature>of());
    Consumer<Finished> caller = result -> received.add(result.outcome());
    long now = EventLoop.now();
    jobs.submit(job, CLASS, now, now + TIMEOUT_MICROS, caller);
    return caller;
  }

  private static Finished answer(JobOutcome outcome, SubmissionNumber number) {
    return new Finished(ID, outcome, "test", 0, number);
  }

  /** Guards against a start after a refusal: by a submission that the leader has yet to receive. */
  @Test
  void refusalIsNotReportedWhileLaterSubmissionIsOnItsWay() {
    LeaderChannel lost = leaderChannel("lost link", 7);
    leaderTracker.leaderFound(lost);
    submit(ID);
    leaderTracker.leaderLost(lost);
    leaderTracker.leaderFound(leaderChannel("new link", 7));
    assertThat(numbers).hasSize(2);
    jobs.finished(answer(JobOutcome.REFUSED, numbers.get(0)));
    assertThat(outcomes).isEmpty();
    jobs.finished(answer(JobOutcome.REFUSED, numbers.get(1)));
    assertThat(outcomes).containsExactly(JobOutcome.REFUSED);
  }

  /** Guards against an answer to an earlier try of the caller that is taken for one to the last. */
  @Test
  void refusalOfEarlierTryIsNotReportedForLaterOne() {
    leaderTracker.leaderFound(leaderChannel("partition", 7));
    jobs.callerLeft(ID, submitFor(outcomes));
    outcomes.clear();
    submit(ID);
    jobs.finished(answer(JobOutcome.REFUSED, numbers.get(0)));
    assertThat(outcomes).isEmpty();
    jobs.finished(answer(JobOutcome.SUCCEEDED, numbers.get(1)));
    assertThat(outcomes).containsExactly(JobOutcome.SUCCEEDED);
  }

  /** A caller that has left may submit the job elsewhere; one that has cancelled it may not. */
  @Test
  void leaderIsToldWhetherWithdrawnJobWasCancelled() {
    leaderTracker.leaderFound(leaderChannel("partition", 7));
    jobs.callerLeft(ID, submitFor(outcomes));
    submit(ID);
    jobs.cancel(ID);
    assertThat(cancelled).containsExactly(false, true).inOrder();
  }

  /** A result that is ready is delivered, whichever submission it answers. */
  @Test
  void resultIsReportedWhileLaterSubmissionIsOnItsWay() {
    leaderTracker.leaderFound(leaderChannel("lost link", 7));
    submit(ID);
    leaderTracker.leaderFound(leaderChannel("new link", 7));
    jobs.finished(answer(JobOutcome.SUCCEEDED, numbers.get(0)));
    assertThat(outcomes).containsExactly(JobOutcome.SUCCEEDED);
  }

  /** Guards against a handed-over job that is sent to its next leader twice. */
  @Test
  void refusalOfFormerLeaderDoesNotReturnJobFromItsSuccessor() {
    leaderTracker.setDomainLeader(leaderChannel("first", 0));
    submit(ID);
    leaderTracker.domainLeaderHandedOver();
    jobs.releasedByDomainLeader(answer(JobOutcome.REFUSED, numbers.get(0)));
    leaderTracker.setDomainLeader(leaderChannel("second", 0));
    jobs.releasedByDomainLeader(answer(JobOutcome.REFUSED, numbers.get(0)));
    jobs.finishedByDomainLeader(answer(JobOutcome.REFUSED, numbers.get(0)));
    assertThat(sent).containsExactly("first " + ID, "second " + ID).inOrder();
    assertThat(outcomes).isEmpty();
  }

  /** Guards against a job that runs here while its caller submits it again to another leader. */
  @Test
  void jobIsWithdrawnFromLeaderOfDomainWhenItsOnlyCallerLeaves() {
    leaderTracker.domainElectionStarted();
    leaderTracker.setDomainLeader(leaderChannel("domain", 0));
    Consumer<Finished> caller = submitFor(outcomes);
    jobs.callerLeft(ID, caller);
    assertThat(withdrawn).containsExactly("domain " + ID);
    assertThat(outcomes).containsExactly(JobOutcome.ABANDONED);
    refuse();
    assertThat(outcomes).containsExactly(JobOutcome.ABANDONED, JobOutcome.ABANDONED);
  }

  @Test
  void jobIsWithdrawnFromFormerLeaderOfDomainWhenItsOnlyCallerLeaves() {
    leaderTracker.domainElectionStarted();
    leaderTracker.setDomainLeader(leaderChannel("former", 0));
    Consumer<Finished> caller = submitFor(outcomes);
    leaderTracker.domainLeaderHandedOver();
    leaderTracker.setDomainLeader(leaderChannel("successor", 0));
    jobs.callerLeft(ID, caller);
    assertThat(withdrawn).containsExactly("former " + ID);
  }

  /** Guards against a caller that is sent nothing, as another one of the same job has left. */
  @Test
  void jobIsKeptForOtherCallerWhenOneLeaves() {
    leaderTracker.leaderFound(leaderChannel("partition", 7));
    List<JobOutcome> others = new ArrayList<>();
    final Consumer<Finished> first = submitFor(outcomes);
    final Consumer<Finished> second = submitFor(others);
    jobs.callerLeft(ID, first);
    assertThat(withdrawn).isEmpty();
    assertThat(outcomes).containsExactly(JobOutcome.ABANDONED);
    jobs.callerLeft(ID, first);
    assertThat(withdrawn).isEmpty();
    jobs.finished(result(JobOutcome.SUCCEEDED));
    assertThat(others).containsExactly(JobOutcome.SUCCEEDED);
    jobs.callerLeft(ID, second);
    assertThat(withdrawn).isEmpty();
  }

  @Test
  void refusedJobThatRunsGetsItsResult() {
    refuse();
    assertThat(outcomes).containsExactly(JobOutcome.REFUSED);
    leaderTracker.leaderFound(leaderChannel("partition", 7));
    submit(ID);
    refuse();
    assertThat(outcomes).hasSize(1);
    jobs.finished(result(JobOutcome.SUCCEEDED));
    refuse();
    assertThat(outcomes.subList(1, 4))
        .containsExactly(JobOutcome.SUCCEEDED, JobOutcome.SUCCEEDED, JobOutcome.SUCCEEDED);
  }

  @Test
  void refusedJobThatWasAbandonedIsNotCalledUnrun() {
    leaderTracker.leaderFound(leaderChannel("partition", 7));
    submit(ID);
    jobs.abandonAll();
    refuse();
    assertThat(outcomes).containsExactly(JobOutcome.ABANDONED, JobOutcome.ABANDONED);
  }

  @Test
  void unsentJobGoesToDomainLeader() {
    submit(ID);
    leaderTracker.setDomainLeader(leaderChannel("domain", 0));
    assertThat(sent).containsExactly("domain " + ID);
    jobs.finishedByDomainLeader(result(JobOutcome.SUCCEEDED));
    assertThat(outcomes).containsExactly(JobOutcome.SUCCEEDED);
  }

  @Test
  void jobSentToPartitionLeaderIsNotSentToDomainLeader() {
    LeaderChannel partition = leaderChannel("partition", 7);
    leaderTracker.leaderFound(partition);
    submit(ID);
    leaderTracker.leaderLost(partition);
    leaderTracker.setDomainLeader(leaderChannel("domain", 0));
    assertThat(sent).containsExactly("partition " + ID);
    assertThat(outcomes).containsExactly(JobOutcome.ABANDONED);
  }

  @Test
  void jobSentToDomainLeaderIsNotSentToPartitionLeader() {
    leaderTracker.setDomainLeader(leaderChannel("domain", 0));
    submit(ID);
    leaderTracker.leaderFound(leaderChannel("partition", 7));
    assertThat(sent).containsExactly("domain " + ID);
    leaderTracker.setDomainLeader(null);
    assertThat(outcomes).containsExactly(JobOutcome.ABANDONED);
  }

  @Test
  void jobRefusedByDomainLeaderGoesToPartitionLeader() {
    leaderTracker.setDomainLeader(leaderChannel("domain", 0));
    submit(ID);
    leaderTracker.leaderFound(leaderChannel("partition", 7));
    jobs.finishedByDomainLeader(result(JobOutcome.REFUSED));
    assertThat(sent).containsExactly("domain " + ID, "partition " + ID).inOrder();
    assertThat(outcomes).isEmpty();
  }

  @Test
  void resultFromLeaderThatDoesNotHaveTheJobIsIgnored() {
    leaderTracker.setDomainLeader(leaderChannel("domain", 0));
    submit(ID);
    jobs.finished(result(JobOutcome.REFUSED));
    assertThat(outcomes).isEmpty();
  }

  @Test
  void resubmittedJobGetsSameResultUnderLaterLeader() {
    leaderTracker.leaderFound(leaderChannel("partition", 7));
    submit(ID);
    jobs.finished(result(JobOutcome.SUCCEEDED));
    leaderTracker.leaderFound(leaderChannel("later", 8));
    submit(ID);
    assertThat(outcomes).containsExactly(JobOutcome.SUCCEEDED, JobOutcome.SUCCEEDED);
    assertThat(sent).containsExactly("partition " + ID);
  }

  @Test
  void jobThatMayHaveRunIsNotReportedAsRefused() {
    leaderTracker.leaderFound(leaderChannel("partition", 7));
    submit(ID);
    jobs.finished(result(JobOutcome.ABANDONED));
    submit(ID);
    jobs.finished(result(JobOutcome.REFUSED));
    assertThat(outcomes).containsExactly(JobOutcome.ABANDONED, JobOutcome.ABANDONED);
  }

  @Test
  void sendsOnlyTheAdmittedShare() {
    leaderTracker.leaderFound(leaderChannel("partition", 7));
    jobs.setAdmittedShare(0.25);
    for (int i = 0; i < 100; i++) {
      submit(new JobId(String.format(Locale.ROOT, "%016x", i)));
    }
    assertThat(sent).hasSize(25);
    assertThat(outcomes).hasSize(75);
    assertThat(Set.copyOf(outcomes)).containsExactly(JobOutcome.REFUSED);
  }

  /** The delays are fixed while there is no forecast from the leader. */
  @Test
  void retryDelayFollowsForecastOfLeader() {
    List<Long> retryDelays = new ArrayList<>();
    LeaderChannel partition = leaderChannel("partition", 7);
    leaderTracker.leaderFound(partition);
    jobs.setAdmittedShare(0);
    long now = EventLoop.now();
    JobDescription job = new JobDescription(ID, "p", List.of(), Set.<JobFeature>of());
    jobs.submit(job, CLASS, now, now, result -> retryDelays.add(result.retryAfterMillis()));
    leaderTracker.updateRetryForecast(new RetryForecast(60_000, 1));
    jobs.submit(job, CLASS, now, now, result -> retryDelays.add(result.retryAfterMillis()));
    assertThat(retryDelays.get(0)).isAtMost(4_000);
    assertThat(retryDelays.get(1)).isGreaterThan(50_000L);
  }

  @Test
  void jobReturnedDuringHandoverGoesToSuccessor() {
    leaderTracker.setDomainLeader(leaderChannel("first", 0));
    submit(ID);
    leaderTracker.domainLeaderHandedOver();
    jobs.releasedByDomainLeader(result(JobOutcome.REFUSED));
    assertThat(sent).containsExactly("first " + ID);
    leaderTracker.setDomainLeader(leaderChannel("second", 0));
    assertThat(sent).containsExactly("first " + ID, "second " + ID).inOrder();
    assertThat(outcomes).isEmpty();
  }

  @Test
  void runningJobStaysWithLeaderThatHandedOver() {
    leaderTracker.setDomainLeader(leaderChannel("first", 0));
    submit(ID);
    leaderTracker.domainLeaderHandedOver();
    leaderTracker.setDomainLeader(leaderChannel("second", 0));
    assertThat(outcomes).isEmpty();
    jobs.finishedByDomainLeader(result(JobOutcome.SUCCEEDED));
    assertThat(outcomes).containsExactly(JobOutcome.SUCCEEDED);
    assertThat(sent).containsExactly("first " + ID);
  }

  @Test
  void runningJobIsAbandonedWhenLeaderThatHandedOverIsLost() {
    leaderTracker.setDomainLeader(leaderChannel("first", 0));
    submit(ID);
    leaderTracker.domainLeaderHandedOver();
    leaderTracker.setDomainLeader(leaderChannel("second", 0));
    leaderTracker.removeFormerDomainLeader();
    assertThat(outcomes).containsExactly(JobOutcome.ABANDONED);
    assertThat(sent).containsExactly("first " + ID);
  }

  private void submitLongTask(long deadlineMicros) {
    StepSpec step = new StepSpec(1, new Resources(1, 1, 0), 800, List.of(), "", "", 0);
    JobDescription job = new JobDescription(ID, "p", List.of(step), Set.<JobFeature>of());
    long now = EventLoop.now();
    jobs.submit(job, CLASS, now, now + deadlineMicros, result -> outcomes.add(result.outcome()));
  }

  /** Without a leader, only jobs that can still meet their deadline are kept. */
  @Test
  void jobThatCannotFinishInTimeIsRefusedWithoutLeader() {
    submitLongTask(500_000);
    assertThat(outcomes).containsExactly(JobOutcome.REFUSED);
    leaderTracker.domainElectionStarted();
    submitLongTask(500_000);
    assertThat(outcomes).containsExactly(JobOutcome.REFUSED, JobOutcome.REFUSED);
    submitLongTask(5_000_000);
    jobs.tick();
    assertThat(outcomes).hasSize(2);
  }

  /** The leader knows better how long jobs run. */
  @Test
  void jobThatCannotFinishInTimeByItsEstimateIsSentToLeader() {
    leaderTracker.leaderFound(leaderChannel("leader", 1));
    submitLongTask(500_000);
    assertThat(outcomes).isEmpty();
    assertThat(sent).hasSize(1);
  }

  @Test
  void jobIsKeptNoLongerThanElectionTimeout() throws InterruptedException {
    // Longer than the grace period after the loss of a leader.
    Thread.sleep(1_250);
    submit(ID);
    assertThat(outcomes).containsExactly(JobOutcome.REFUSED);
    leaderTracker.domainElectionStarted();
    submit(ID);
    assertThat(outcomes).hasSize(1);
    // Longer than the timeout of the domain's election.
    Thread.sleep(1_550);
    jobs.tick();
    assertThat(outcomes).containsExactly(JobOutcome.REFUSED, JobOutcome.REFUSED);
  }
}
