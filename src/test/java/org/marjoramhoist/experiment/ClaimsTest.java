package org.marjoramhoist.experiment;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.marjoramhoist.experiment.Fleets.MILLI;
import static org.marjoramhoist.experiment.Fleets.SECOND;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.decision.ShardRecord;
import org.marjoramhoist.model.ErrorKind;
import org.marjoramhoist.model.JobAnswer;
import org.marjoramhoist.model.JobSpec;
import org.marjoramhoist.model.RunState;
import org.marjoramhoist.model.SubmissionId;

/** Each fault that could start a submission twice, caused on purpose. */
class ClaimsTest {

  private static final int HOSTS_PER_DOMAIN = 3;

  /** A host tries a claim for 3 s before it gives it up. */
  private static final long CLAIM_PATIENCE = 3_500 * MILLI;

  private final VirtualFleet fleet = Fleets.ready(Fleets.plan(2, HOSTS_PER_DOMAIN, 2), 7);

  private JobSpec job(String id) {
    return Fleets.job(id, fleet.now(), 8_000, 2, String.valueOf(200 * MILLI));
  }

  private void run(long micros) {
    fleet.runUntil(fleet.now() + micros);
  }

  private JobAnswer answer(long request) {
    return Fleets.answer(fleet, request);
  }

  private long startsOf(JobSpec job) {
    return fleet.history().starts().stream()
        .filter(s -> s.submission().equals(job.id().value()))
        .count();
  }

  private void assertNoBreach() {
    assertThat(Invariants.breaches(fleet.history())).isEmpty();
  }

  /** Returns the index of a host of the first domain, by its role in the domain's shard. */
  private int owner() {
    return indexOf(record().owner().host().value());
  }

  private int standby() {
    return indexOf(record().standby().host().value());
  }

  private int bystander() {
    return 3 - owner() - standby();
  }

  private ShardRecord record() {
    return fleet.store().record("d0/0");
  }

  private static int indexOf(String host) {
    int domain = host.charAt(1) - '0';
    return domain * HOSTS_PER_DOMAIN + host.charAt(host.length() - 1) - '0';
  }

  @Test
  void namesStandbyInItsDomainSoonAfterStart() {
    assertThat(record().owner().host().value()).startsWith("d0-");
    assertThat(record().standby().host().value()).startsWith("d0-");
  }

  @Test
  void startsOnceWhenEveryHostGetsTheSubmissionAtOnce() {
    JobSpec job = job("anywhere");
    for (int host = 0; host < fleet.hostCount(); host++) {
      fleet.submit(host, job);
    }
    run(3 * SECOND);
    for (long request = 1; request <= fleet.hostCount(); request++) {
      assertWithMessage("request %s", request).that(answer(request).isComplete()).isTrue();
    }
    assertThat(startsOf(job)).isEqualTo(2);
    assertNoBreach();
  }

  @Test
  void answersResubmissionAfterOwnerDied() {
    JobSpec job = job("d0~a");
    int starter = bystander();
    fleet.submit(starter, job);
    run(20 * MILLI);
    fleet.kill(owner());
    run(4 * SECOND);
    long again = fleet.submit(standbyNow(), job);
    run(SECOND);
    assertThat(answer(again).isComplete()).isTrue();
    assertThat(startsOf(job)).isEqualTo(2);
    assertNoBreach();
  }

  private int standbyNow() {
    return owner();
  }

  @Test
  void saysUnknownWhenStarterDiedAndDoesNotStartAgain() {
    JobSpec job = job("d0~b");
    int starter = bystander();
    fleet.submit(starter, job);
    run(20 * MILLI);
    fleet.kill(starter);
    run(100 * MILLI);
    fleet.restart(starter);
    run(SECOND);
    long again = fleet.submit(owner(), job);
    run(SECOND);
    assertThat(answer(again).error()).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
    assertThat(answer(again).runState()).isEqualTo(RunState.UNKNOWN);
    assertThat(startsOf(job)).isEqualTo(2);
    assertNoBreach();
  }

  @Test
  void takesOverWithinHalfSecondOnceConnectionToOwnerBroke() {
    int next = standby();
    fleet.kill(owner());
    run(500 * MILLI);
    assertThat(owner()).isEqualTo(next);
    assertNoBreach();
  }

  @Test
  void claimsAgainSoonAfterConnectionToOwnerBroke() {
    int starter = bystander();
    int owner = owner();
    fleet.cut(starter, owner);
    final long request = fleet.submit(starter, job("d0~again"));
    run(20 * MILLI);
    fleet.heal(starter, owner);
    run(450 * MILLI);
    assertThat(answer(request).isComplete()).isTrue();
    assertNoBreach();
  }

  @Test
  void refusesAtPausedOwnerThatWakesAfterTakeover() {
    int paused = owner();
    int next = standby();
    fleet.pause(paused, 4 * SECOND);
    JobSpec job = job("d0~c");
    run(3_500 * MILLI);
    assertThat(owner()).isEqualTo(next);
    fleet.submit(next, job);
    fleet.submit(paused, job);
    run(3 * SECOND);
    assertThat(startsOf(job)).isEqualTo(2);
    assertNoBreach();
  }

  @Test
  void settlesTakeoverWhoseReplyWasLostByReading() {
    JobSpec job = job("d0~d");
    fleet.submit(bystander(), job);
    run(20 * MILLI);
    final int next = standby();
    fleet.kill(owner());
    fleet.loseStoreReplies(3);
    run(6 * SECOND);
    assertThat(owner()).isEqualTo(next);
    long again = fleet.submit(next, job);
    run(SECOND);
    assertThat(answer(again).isComplete()).isTrue();
    assertNoBreach();
  }

  @Test
  void keepsClaimsWhenStandbyWithAnOldViewOfTheRecordTakesOver() {
    int first = owner();
    final int second = standby();
    JobSpec job = job("d0~e");
    fleet.submit(first, job);
    run(2 * MILLI);
    fleet.kill(first);
    fleet.restart(first);
    run(600 * MILLI);
    fleet.kill(second);
    fleet.restart(second);
    run(4 * SECOND);
    for (int host = 0; host < HOSTS_PER_DOMAIN; host++) {
      fleet.submit(host, job);
      run(100 * MILLI);
    }
    run(SECOND);
    assertNoBreach();
  }

  @Test
  void refusesAnotherBodyUnderTheSameId() {
    fleet.submit(0, job("d0~f"));
    run(100 * MILLI);
    JobSpec other = Fleets.job("d0~f", fleet.now(), 8_000, 3, String.valueOf(10 * MILLI));
    long request = fleet.submit(1, other);
    run(SECOND);
    assertThat(answer(request).error()).isEqualTo(ErrorKind.SUBMISSION_CONFLICT);
    assertNoBreach();
  }

  @Test
  void goesOnInStoreOutageWhileOwnerAndStandbyLive() {
    fleet.setStoreDown(true);
    JobSpec job = job("d0~g");
    long request = fleet.submit(bystander(), job);
    run(2 * SECOND);
    assertThat(answer(request).isComplete()).isTrue();
  }

  @Test
  void takesNoNewIdsWhenOwnerDiesInStoreOutageButTicketsServe() {
    fleet.setStoreDown(true);
    fleet.kill(owner());
    run(3 * SECOND);
    int host = bystander();
    long refused = fleet.submit(host, job("d0~h"));
    long asked = fleet.askTicket(host);
    run(CLAIM_PATIENCE);
    assertThat(answer(refused).error()).isEqualTo(ErrorKind.CLAIM_UNAVAILABLE);
    SubmissionId ticket = fleet.ticket(asked);
    long served = fleet.submit(host, job(ticket.value()));
    run(2 * SECOND);
    assertThat(answer(served).isComplete()).isTrue();
    fleet.setStoreDown(false);
    run(3 * SECOND);
    long later = fleet.submit(host, job("d0~i"));
    run(2 * SECOND);
    assertThat(answer(later).isComplete()).isTrue();
    assertNoBreach();
  }

  @Test
  void servesCutOffDomainAndStartsNothingTwiceAfterwards() {
    fleet.isolate("d0", true);
    JobSpec home = job("d0~j");
    long inside = fleet.submit(bystander(), home);
    long outside = fleet.submit(HOSTS_PER_DOMAIN, home);
    run(CLAIM_PATIENCE);
    assertThat(answer(inside).isComplete()).isTrue();
    assertThat(answer(outside).isComplete()).isFalse();
    assertThat(answer(outside).runState()).isEqualTo(RunState.UNKNOWN);
    fleet.isolate("d0", false);
    run(3 * SECOND);
    long again = fleet.submit(HOSTS_PER_DOMAIN, home);
    run(SECOND);
    assertThat(answer(again).isComplete()).isTrue();
    assertNoBreach();
  }

  @Test
  void ownsNothingWhenStoreIsDownAtStart() {
    VirtualFleet cold = new VirtualFleet(Fleets.plan(1, 2, 1), 3, VirtualFleet.product());
    cold.setStoreDown(true);
    cold.runUntil(cold.now() + 4 * SECOND);
    long request = cold.submit(0, Fleets.job("x", cold.now(), 5_000, 1, "1000"));
    cold.runUntil(cold.now() + CLAIM_PATIENCE);
    assertThat(cold.history().answers()).hasSize(1);
    assertThat(cold.history().answers().get(0).number()).isEqualTo(request);
    assertThat(cold.history().answers().get(0).answer().error())
        .isEqualTo(ErrorKind.CLAIM_UNAVAILABLE);
  }

  @Test
  void saysExpiredForSubmissionWhoseDeadlineHasPassed() {
    JobSpec job = job("d0~k");
    fleet.submit(0, job);
    run(9 * SECOND);
    long late = fleet.submit(1, job);
    run(SECOND);
    assertThat(answer(late).error()).isEqualTo(ErrorKind.EXPIRED);
    assertThat(startsOf(job)).isEqualTo(2);
    assertNoBreach();
  }

  @Test
  void handsClaimsOverWhenOwnerDrains() {
    int leaving = owner();
    JobSpec job = job("d0~l");
    fleet.submit(bystander(), job);
    run(10 * MILLI);
    fleet.drain(leaving);
    run(3 * SECOND);
    assertThat(fleet.isDrained(leaving)).isTrue();
    assertThat(owner()).isNotEqualTo(leaving);
    long again = fleet.submit(owner(), job);
    run(SECOND);
    assertThat(answer(again).isComplete()).isTrue();
    assertNoBreach();
  }

  @Test
  void makesNoStoreCallsForClaimsInSteadyState() {
    run(8 * SECOND);
    long before = fleet.storeCalls();
    int jobs = 1_000;
    for (int i = 0; i < jobs; i++) {
      fleet.submit(i % fleet.hostCount(), Fleets.job("s" + i, fleet.now(), 8_000, 1, "1000"));
      run(10 * MILLI);
    }
    long accountWrites = fleet.hostCount() * 11L;
    assertThat(fleet.storeCalls() - before - accountWrites).isAtMost(jobs * 5L / 100);
    assertNoBreach();
    List<History.Answer> answers = fleet.history().answers();
    assertThat(answers.stream().filter(a -> a.answer().isComplete()).count()).isEqualTo(jobs);
  }

  @Test
  void cancelsOnceAndIgnoresCancellationOfEndedJob() {
    JobSpec job = job("d0~m");
    final long request = fleet.submit(0, job);
    run(100 * MILLI);
    fleet.cancel(1, job.id(), job.team());
    run(100 * MILLI);
    assertThat(answer(request).error()).isEqualTo(ErrorKind.CANCELLED);
    assertThat(answer(request).runState()).isEqualTo(RunState.RAN);
    fleet.cancel(0, job.id(), job.team());
    run(SECOND);
    assertNoBreach();
  }

  @Test
  void triesClaimAgainWhileItsOwnerIsReplaced() {
    fleet.kill(owner());
    long request = fleet.submit(standby(), job("d0~n"));
    run(CLAIM_PATIENCE);
    assertThat(answer(request).isComplete()).isTrue();
    assertNoBreach();
  }
}
