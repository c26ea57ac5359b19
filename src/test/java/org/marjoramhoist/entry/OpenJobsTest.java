package org.marjoramhoist.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.dispatch.RetryForecast;
import org.marjoramhoist.job.JobDescription;
import org.marjoramhoist.job.JobFeature;
import org.marjoramhoist.job.JobId;
import org.marjoramhoist.job.JobOutcome;
import org.marjoramhoist.job.RequestClass;
import org.marjoramhoist.job.Resources;
import org.marjoramhoist.job.StepSpec;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.HostMessage.Finished;
import org.marjoramhoist.message.HostMessage.Submit;

/** Which leader an entry host's jobs go to, and what their callers are told. */
class OpenJobsTest {

  private static final JobId ID = new JobId("00000000000000a1");
  private static final RequestClass CLASS =
      new RequestClass("check", "h", "/p/", "reviews", 0, 3, 1.6, 60, false);
  private static final long PATIENCE_MICROS = 10_000_000;

  private final LeaderTracker reach = new LeaderTracker();
  private final OpenJobs jobs = new OpenJobs(reach);
  private final List<String> sent = new ArrayList<>();
  private final List<JobOutcome> told = new ArrayList<>();

  private LeaderChannel port(String name, long term) {
    return new LeaderChannel() {
      @Override
      public long term() {
        return term;
      }

      @Override
      public void send(HostMessage message) {
        if (message instanceof Submit submit) {
          sent.add(name + " " + submit.job().id());
        }
      }
    };
  }

  private void submit(JobId id) {
    JobDescription job = new JobDescription(id, "p", List.of(), Set.<JobFeature>of());
    long now = EventLoop.now();
    jobs.submit(job, CLASS, now, now + PATIENCE_MICROS, end -> told.add(end.outcome()));
  }

  private static Finished end(JobOutcome outcome) {
    return new Finished(ID, outcome, "test", 0);
  }

  @Test
  void jobThatNoLeaderHasGoesToTheDomainsLeader() {
    submit(ID);
    reach.setDomainLeader(port("domain", 0));
    assertThat(sent).containsExactly("domain " + ID);
    jobs.finishedByDomainLeader(end(JobOutcome.SUCCEEDED));
    assertThat(told).containsExactly(JobOutcome.SUCCEEDED);
  }

  @Test
  void jobThatTheOtherLeaderHasIsNeverHandedToBoth() {
    LeaderChannel partition = port("partition", 7);
    reach.leaderFound(partition);
    submit(ID);
    reach.leaderLost(partition);
    reach.setDomainLeader(port("domain", 0));
    assertThat(sent).containsExactly("partition " + ID);
    assertThat(told).containsExactly(JobOutcome.ABANDONED);
  }

  @Test
  void jobOfTheDomainsLeaderIsNotHandedOnWhenThePartitionsIsFound() {
    reach.setDomainLeader(port("domain", 0));
    submit(ID);
    reach.leaderFound(port("partition", 7));
    assertThat(sent).containsExactly("domain " + ID);
    reach.setDomainLeader(null);
    assertThat(told).containsExactly(JobOutcome.ABANDONED);
  }

  @Test
  void jobThatTheDomainsLeaderHasNotBegunGoesOnToThePartitions() {
    reach.setDomainLeader(port("domain", 0));
    submit(ID);
    reach.leaderFound(port("partition", 7));
    jobs.finishedByDomainLeader(end(JobOutcome.REFUSED));
    assertThat(sent).containsExactly("domain " + ID, "partition " + ID).inOrder();
    assertThat(told).isEmpty();
  }

  @Test
  void endsOfOneLeaderDoNotCountForJobsOfTheOther() {
    reach.setDomainLeader(port("domain", 0));
    submit(ID);
    jobs.finished(end(JobOutcome.REFUSED));
    assertThat(told).isEmpty();
  }

  @Test
  void lostAnswerIsGivenAgainUnderLaterLeaders() {
    reach.leaderFound(port("partition", 7));
    submit(ID);
    jobs.finished(end(JobOutcome.SUCCEEDED));
    reach.leaderFound(port("later", 8));
    submit(ID);
    assertThat(told).containsExactly(JobOutcome.SUCCEEDED, JobOutcome.SUCCEEDED);
    assertThat(sent).containsExactly("partition " + ID);
  }

  @Test
  void jobThatMayHaveRunIsNeverCalledNotRun() {
    reach.leaderFound(port("partition", 7));
    submit(ID);
    jobs.finished(end(JobOutcome.ABANDONED));
    submit(ID);
    jobs.finished(end(JobOutcome.REFUSED));
    assertThat(told).containsExactly(JobOutcome.ABANDONED, JobOutcome.ABANDONED);
  }

  @Test
  void sendsOnTheShareThatTheLeaderTakes() {
    reach.leaderFound(port("partition", 7));
    jobs.setAdmittedShare(0.25);
    for (int i = 0; i < 100; i++) {
      submit(new JobId(String.format("%016x", i)));
    }
    assertThat(sent).hasSize(25);
    assertThat(told).hasSize(75);
    assertThat(Set.copyOf(told)).containsExactly(JobOutcome.REFUSED);
  }

  /** Without a forecast of the leader the times are fixed. */
  @Test
  void refusedCallersComeBackWhenTheLeaderExpectsRoom() {
    List<Long> times = new ArrayList<>();
    LeaderChannel partition = port("partition", 7);
    reach.leaderFound(partition);
    jobs.setAdmittedShare(0);
    long now = EventLoop.now();
    JobDescription job = new JobDescription(ID, "p", List.of(), Set.<JobFeature>of());
    jobs.submit(job, CLASS, now, now, end -> times.add(end.retryAfterMillis()));
    reach.updateRetryForecast(new RetryForecast(60_000, 1));
    jobs.submit(job, CLASS, now, now, end -> times.add(end.retryAfterMillis()));
    assertThat(times.get(0)).isAtMost(4_000);
    assertThat(times.get(1)).isGreaterThan(50_000L);
  }

  @Test
  void jobThatLeaderWhichHandsOverHasNotBegunGoesToItsSuccessor() {
    reach.setDomainLeader(port("first", 0));
    submit(ID);
    reach.domainLeaderHandedOver();
    jobs.releasedByDomainLeader(ID);
    assertThat(sent).containsExactly("first " + ID);
    reach.setDomainLeader(port("second", 0));
    assertThat(sent).containsExactly("first " + ID, "second " + ID).inOrder();
    assertThat(told).isEmpty();
  }

  @Test
  void jobAtWorkStaysWithLeaderThatHandsOver() {
    reach.setDomainLeader(port("first", 0));
    submit(ID);
    reach.domainLeaderHandedOver();
    reach.setDomainLeader(port("second", 0));
    assertThat(told).isEmpty();
    jobs.finishedByDomainLeader(end(JobOutcome.SUCCEEDED));
    assertThat(told).containsExactly(JobOutcome.SUCCEEDED);
    assertThat(sent).containsExactly("first " + ID);
  }

  @Test
  void jobAtWorkIsGivenUpWhenTheLeaderThatHandedOverIsGone() {
    reach.setDomainLeader(port("first", 0));
    submit(ID);
    reach.domainLeaderHandedOver();
    reach.setDomainLeader(port("second", 0));
    reach.removeFormerDomainLeader();
    assertThat(told).containsExactly(JobOutcome.ABANDONED);
    assertThat(sent).containsExactly("first " + ID);
  }

  /** Only what can still be of use is held while the failure domain elects a leader. */
  @Test
  void jobThatCannotEndInTimeIsRefusedWhileTheDomainElects() {
    StepSpec step = new StepSpec(1, new Resources(1, 1, 0), 800, List.of(), "", "", 0);
    JobDescription job = new JobDescription(ID, "p", List.of(step), Set.<JobFeature>of());
    long now = EventLoop.now();
    jobs.submit(job, CLASS, now, now + 500_000, end -> told.add(end.outcome()));
    assertThat(told).isEmpty();
    reach.domainElectionStarted();
    jobs.tick();
    assertThat(told).containsExactly(JobOutcome.REFUSED);
    jobs.submit(job, CLASS, now, now + 500_000, end -> told.add(end.outcome()));
    assertThat(told).hasSize(2);
    jobs.submit(job, CLASS, now, now + 5_000_000, end -> told.add(end.outcome()));
    jobs.tick();
    assertThat(told).hasSize(2);
  }

  @Test
  void jobIsHeldForAnElectionOnlyAsLongAsThatMayTake() throws InterruptedException {
    Thread.sleep(1_250);
    submit(ID);
    assertThat(told).containsExactly(JobOutcome.REFUSED);
    reach.domainElectionStarted();
    submit(ID);
    assertThat(told).hasSize(1);
    Thread.sleep(1_550);
    jobs.tick();
    assertThat(told).containsExactly(JobOutcome.REFUSED, JobOutcome.REFUSED);
  }
}
