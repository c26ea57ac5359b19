package org.marjoramhoist.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.PeerMessage;
import org.marjoramhoist.message.PeerMessage.ClaimEntry;
import org.marjoramhoist.message.PeerMessage.ClaimReply;
import org.marjoramhoist.model.ErrorKind;
import org.marjoramhoist.model.HostId;
import org.marjoramhoist.model.HostRef;
import org.marjoramhoist.model.JobAnswer;
import org.marjoramhoist.model.JobSpec;
import org.marjoramhoist.model.RunState;
import org.marjoramhoist.model.SubmissionId;
import org.marjoramhoist.model.TeamId;

/**
 * Takes submissions from callers and other hosts, has them claimed, and answers who waits.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>A job is passed to the scheduler only once, and only while this incarnation holds the claim
 *       or has issued the ticket.
 *   <li>Once a claim was given up here, its late grant starts nothing.
 *   <li>A submission is remembered until no resubmission of it may come any more.
 * </ul>
 *
 * <p>Confined to one thread.
 */
public final class Submissions implements Scheduler.JobSink {

  private static final long RETRY_DELAY = 200 * Policy.MICROS_PER_MILLI;
  private static final long CLAIM_PATIENCE = 3 * Policy.MICROS_PER_SECOND;

  private final Policy policy;
  private final Membership membership;
  private final ClaimAuthority claims;
  private final ClaimCalls claimCalls;
  private final Forwards forwards;
  private final Scheduler scheduler;
  private final Map<SubmissionId, Submission> known = new HashMap<>();
  private final Map<Long, Long> locating = new HashMap<>();
  private final Map<Long, Submission> byRequest = new HashMap<>();
  private final PriorityQueue<Submission> byExpiry =
      new PriorityQueue<>(Comparator.comparingLong(Submission::keepUntil));
  private final AnswerStore answers;
  private long tickets;

  /** Creates an empty set of submissions. */
  public Submissions(
      Policy policy,
      Membership membership,
      ClaimAuthority claims,
      Configuration config,
      Ledger ledger) {
    this.policy = policy;
    this.membership = membership;
    this.claims = claims;
    this.claimCalls = new ClaimCalls(policy, membership, claims, new ClaimOutcomes());
    this.forwards = new Forwards(policy, membership);
    this.scheduler = new Scheduler(policy, membership, config, ledger, this);
    this.answers = new AnswerStore(policy.maxAnswerBytes());
  }

  /** Returns the scheduler that runs the jobs of this host. */
  public Scheduler scheduler() {
    return scheduler;
  }

  /** Returns how many submissions are remembered. */
  public int size() {
    return known.size();
  }

  /** Tells whether no job runs and nobody waits. */
  public boolean isIdle() {
    return scheduler.jobCount() == 0 && claimCalls.isEmpty() && forwards.isEmpty();
  }

  /** Issues a submission id that only this incarnation can start. */
  public SubmissionId issueTicket(long now) {
    return Tickets.issue(policy.self(), tickets++, now + policy.maxDeadline());
  }

  /** Takes a submission of a caller. */
  public void submitted(long now, long request, JobSpec job, boolean draining, Actions out) {
    submit(now, Waiter.of(request), job, draining, true, out);
  }

  /** Takes a submission or a question that another host has passed on. */
  public void forwarded(
      long now, HostRef from, PeerMessage.Forward forward, boolean draining, Actions out) {
    Waiter waiter = Waiter.of(from.host(), forward.call());
    Submission submission = known.get(forward.id());
    if (submission != null || forward.job() == null || !forward.mayStart()) {
      attachOrUnknown(now, waiter, submission, forward, out);
      return;
    }
    submit(now, waiter, forward.job(), draining, false, out);
  }

  private void attachOrUnknown(
      long now, Waiter waiter, Submission submission, PeerMessage.Forward forward, Actions out) {
    if (submission == null || submission.isGivenUp()) {
      String detail = "this host no longer answers for the submission";
      reply(
          waiter,
          JobAnswer.failed(forward.id(), ErrorKind.CLAIM_UNAVAILABLE, detail)
              .withRunState(RunState.UNKNOWN)
              .withRetryAt(retryAt(now)),
          out);
    } else if (forward.job() != null && !submission.hasDigest(forward.job().digest())) {
      reply(waiter, conflict(forward.id()), out);
    } else {
      attach(submission, waiter, out);
    }
  }

  private void submit(
      long now, Waiter waiter, JobSpec job, boolean draining, boolean mayForward, Actions out) {
    Submission submission = known.get(job.id());
    if (submission != null && !submission.isGivenUp()) {
      if (submission.hasDigest(job.digest())) {
        attach(submission, waiter, out);
      } else {
        reply(waiter, conflict(job.id()), out);
      }
      return;
    }
    Optional<JobAnswer> refusal = refuseAtOnce(now, job);
    if (refusal.isPresent()) {
      reply(waiter, refusal.get(), out);
      return;
    }
    Optional<Tickets.Ticket> ticket = Tickets.parse(job.id());
    if (ticket.isPresent()) {
      submitTicket(now, waiter, job, ticket.get(), draining, mayForward, out);
    } else if (draining) {
      reply(waiter, unclaimed(now, job.id(), ErrorKind.DRAINING, "the host is stopping"), out);
    } else {
      claim(now, waiter, job, out);
    }
  }

  /** What any host can say of a submission without asking another. */
  private Optional<JobAnswer> refuseAtOnce(long now, JobSpec job) {
    long deadline = job.deadlineMillis() * Policy.MICROS_PER_MILLI;
    if (deadline <= now) {
      String detail = "the deadline has passed; the submission is not run again";
      return Optional.of(JobAnswer.failed(job.id(), ErrorKind.EXPIRED, detail));
    }
    if (deadline > now + policy.maxDeadline()) {
      String detail = "the deadline lies further ahead than this host allows";
      return Optional.of(
          JobAnswer.failed(job.id(), ErrorKind.BAD_REQUEST, detail).withRunState(RunState.UNKNOWN));
    }
    return Optional.empty();
  }

  private void submitTicket(
      long now,
      Waiter waiter,
      JobSpec job,
      Tickets.Ticket ticket,
      boolean draining,
      boolean mayForward,
      Actions out) {
    if (ticket.issuer().equals(policy.self())) {
      startTicket(now, waiter, job, ticket, draining, out);
    } else if (policy.self().host().equals(ticket.issuer().host())
        || membership.isSuperseded(ticket.issuer())) {
      String detail = "the host that issued the ticket has restarted; not started again";
      reply(waiter, JobAnswer.failed(job.id(), ErrorKind.OUTCOME_UNKNOWN, detail), out);
    } else if (!mayForward || !membership.isAlive(ticket.issuer())) {
      String detail = "the host that issued the ticket can't be reached";
      reply(waiter, unclaimed(now, job.id(), ErrorKind.HOME_UNREACHABLE, detail), out);
    } else {
      forwards.send(now, ticket.issuer(), waiter, job.id(), job, true, out);
    }
  }

  private void startTicket(
      long now, Waiter waiter, JobSpec job, Tickets.Ticket ticket, boolean draining, Actions out) {
    boolean issued = ticket.seq() < tickets && ticket.expiry() <= now + policy.maxDeadline();
    if (!issued) {
      String detail = "this host never issued the ticket";
      reply(waiter, JobAnswer.failed(job.id(), ErrorKind.BAD_REQUEST, detail), out);
    } else if (ticket.expiry() <= now) {
      String detail = "the ticket has expired; the submission is not run again";
      reply(waiter, JobAnswer.failed(job.id(), ErrorKind.EXPIRED, detail), out);
    } else if (draining) {
      JobAnswer answer = unclaimed(now, job.id(), ErrorKind.DRAINING, "the host is stopping");
      reply(waiter, answer.withRunState(RunState.NOT_RUN), out);
    } else {
      Submission submission = remember(job, Math.max(ticket.expiry(), deadlineOf(job)));
      submission.addWaiter(waiter);
      index(waiter, submission);
      start(now, submission, false, out);
    }
  }

  private static long deadlineOf(JobSpec job) {
    return job.deadlineMillis() * Policy.MICROS_PER_MILLI;
  }

  private Submission remember(JobSpec job, long until) {
    Submission submission = new Submission(job, until + policy.resubmitGrace());
    known.put(job.id(), submission);
    byExpiry.add(submission);
    return submission;
  }

  private void claim(long now, Waiter waiter, JobSpec job, Actions out) {
    Submission submission = remember(job, deadlineOf(job));
    submission.addWaiter(waiter);
    index(waiter, submission);
    submission.setPatience(Math.min(now + CLAIM_PATIENCE, deadlineOf(job)));
    claimCalls.send(now, submission, out);
  }

  /** Takes in what the owner of a shard has decided, or knows. */
  public void claimReplied(long now, HostRef from, ClaimReply reply, Actions out) {
    Long request = locating.remove(reply.call());
    if (request != null) {
      located(now, request, reply, out);
    } else {
      claimCalls.replied(now, from, reply, out);
    }
  }

  /** What becomes of a submission once its claim is decided. */
  private final class ClaimOutcomes implements ClaimCalls.Outcomes {
    @Override
    public void granted(long now, Submission submission, Actions out) {
      start(now, submission, true, out);
    }

    @Override
    public void taken(long now, Submission submission, ClaimEntry holder, Actions out) {
      passWaitersOn(now, submission, holder, out);
    }

    @Override
    public void conflicting(Submission submission, Actions out) {
      giveUp(submission, conflict(submission.id()), out);
    }

    @Override
    public void undecided(long now, Submission submission, String detail, Actions out) {
      ErrorKind kind = ErrorKind.CLAIM_UNAVAILABLE;
      giveUp(submission, unclaimed(now, submission.id(), kind, detail), out);
    }
  }

  /** Another incarnation holds the claim: what this host keeps is only who waits. */
  private void passWaitersOn(long now, Submission submission, ClaimEntry holder, Actions out) {
    List<Waiter> waiters = giveUpQuietly(submission);
    HostRef starter = holder.starter();
    for (Waiter waiter : waiters) {
      passOn(now, starter, waiter, submission.id(), submission.job(), out);
    }
  }

  private void passOn(
      long now, HostRef starter, Waiter waiter, SubmissionId id, JobSpec job, Actions out) {
    boolean ended = membership.isSuperseded(starter);
    if (ended || starter.equals(policy.self())) {
      String detail = "the host that started it has restarted; not started again";
      reply(waiter, JobAnswer.failed(id, ErrorKind.OUTCOME_UNKNOWN, detail), out);
    } else if (!membership.isAlive(starter)) {
      String detail = "the host that may start it can't be reached";
      reply(waiter, unclaimed(now, id, ErrorKind.HOME_UNREACHABLE, detail), out);
    } else {
      forwards.send(now, starter, waiter, id, job, false, out);
    }
  }

  private void start(long now, Submission submission, boolean claimed, Actions out) {
    Optional<JobAnswer> refusal = scheduler.submit(now, submission.job(), out);
    if (refusal.isEmpty()) {
      out.log(LogEvent.JOB_ACCEPTED, "submission=" + submission.id());
      return;
    }
    out.log(
        LogEvent.JOB_REFUSED, "submission=" + submission.id() + " error=" + refusal.get().error());
    giveUp(submission, refusal.get(), out);
    if (claimed) {
      claimCalls.release(submission, out);
    }
  }

  /** Takes the answer of a job that has ended here. */
  @Override
  public void ended(long now, SubmissionId id, JobAnswer answer, Actions out) {
    Submission submission = known.get(id);
    boolean complete = answer.error() == null;
    out.log(
        complete ? LogEvent.JOB_COMPLETED : LogEvent.JOB_FAILED,
        "submission=" + id + (complete ? "" : " error=" + answer.error()));
    submission.setAnswered();
    answers.put(id, answer);
    for (Waiter waiter : submission.takeWaiters()) {
      reply(waiter, answer, out);
    }
  }

  /** Takes a caller's question for an answer. */
  public void answerAsked(long now, long request, SubmissionId id, Actions out) {
    Submission submission = known.get(id);
    Waiter waiter = Waiter.of(request);
    if (submission != null && !submission.isGivenUp()) {
      attach(submission, waiter, out);
      return;
    }
    Optional<Tickets.Ticket> ticket = Tickets.parse(id);
    if (ticket.isPresent()) {
      passOn(now, ticket.get().issuer(), waiter, id, null, out);
      return;
    }
    String shard = Shards.shardOf(id, policy);
    HostId owner = claims.ownerOf(shard);
    if (owner == null) {
      String detail = "nobody decides on shard " + shard + " at present";
      reply(waiter, unclaimed(now, id, ErrorKind.CLAIM_UNAVAILABLE, detail), out);
      return;
    }
    long call = claimCalls.nextCall();
    locating.put(call, request);
    forwards.remember(request, id, now + policy.claimTimeout());
    PeerMessage.Locate question = new PeerMessage.Locate(call, shard, id);
    if (owner.equals(policy.self().host())) {
      claims.locate(now, policy.self(), question, out);
    } else {
      out.send(owner, question);
    }
  }

  private void located(long now, long request, ClaimReply reply, Actions out) {
    SubmissionId id = forwards.recall(request);
    if (id == null) {
      return;
    }
    Waiter waiter = Waiter.of(request);
    if (reply.holder() != null) {
      passOn(now, reply.holder().starter(), waiter, id, null, out);
    } else if (reply.verdict() == PeerMessage.ClaimVerdict.UNCLAIMED) {
      String detail = "no such submission is known";
      reply(waiter, JobAnswer.failed(id, ErrorKind.NOT_FOUND, detail), out);
    } else {
      String detail = "the shard's owner can't tell at present";
      reply(waiter, unclaimed(now, id, ErrorKind.CLAIM_UNAVAILABLE, detail), out);
    }
  }

  /** Takes in that a caller no longer waits. */
  public void waitEnded(long request) {
    Submission submission = byRequest.remove(request);
    if (submission != null) {
      submission.removeWaiter(Waiter.of(request));
    }
    forwards.waitEnded(request);
  }

  /** Ends a job of this host that its team cancels, or passes the wish on. */
  public void cancel(long now, SubmissionId id, TeamId team, boolean mayForward, Actions out) {
    Submission submission = known.get(id);
    if (submission != null && !submission.isGivenUp()) {
      if (submission.team().equals(team)) {
        scheduler.cancel(now, id, out);
      }
    } else if (mayForward) {
      membership.peers().stream()
          .filter(peer -> peer.state() != Membership.State.DEAD)
          .forEach(peer -> out.send(peer.ref().host(), new PeerMessage.Cancel(id, team)));
    }
  }

  /** Takes in another host's answer to a submission that was passed on. */
  public void forwardReplied(PeerMessage.ForwardReply reply, Actions out) {
    Waiter waiter = forwards.replied(reply.call());
    if (waiter != null) {
      reply(waiter, reply.answer(), out);
    }
  }

  /** Takes in that the connection to a host broke. */
  public void linkLost(long now, HostId host, Actions out) {
    claimCalls.linkLost(now, host, out);
    forwards.linkLost(now, host, (waiter, answer) -> reply(waiter, answer, out));
  }

  /** Does what is due: gives up late claims, answers for lost hosts, forgets old submissions. */
  public void tick(long now, Actions out) {
    claimCalls.tick(now, out);
    forwards.tick(now, (waiter, answer) -> reply(waiter, answer, out));
    while (!byExpiry.isEmpty() && byExpiry.peek().keepUntil() <= now) {
      Submission submission = byExpiry.poll();
      if (known.remove(submission.id(), submission)) {
        answers.remove(submission.id());
      }
    }
    scheduler.tick(now, out);
  }

  private void attach(Submission submission, Waiter waiter, Actions out) {
    if (!submission.isAnswered()) {
      submission.addWaiter(waiter);
      index(waiter, submission);
      return;
    }
    JobAnswer answer = answers.get(submission.id());
    if (answer == null) {
      String detail = "the job has ended, but its answer is no longer kept";
      answer =
          JobAnswer.failed(submission.id(), ErrorKind.EXPIRED, detail).withRunState(RunState.RAN);
    }
    reply(waiter, answer, out);
  }

  private void index(Waiter waiter, Submission submission) {
    if (waiter.host() == null) {
      byRequest.put(waiter.number(), submission);
    }
  }

  private void giveUp(Submission submission, JobAnswer answer, Actions out) {
    for (Waiter waiter : giveUpQuietly(submission)) {
      reply(waiter, answer, out);
    }
  }

  private List<Waiter> giveUpQuietly(Submission submission) {
    submission.setGivenUp();
    List<Waiter> waiters = new ArrayList<>(submission.takeWaiters());
    waiters.forEach(waiter -> byRequest.remove(waiter.number(), submission));
    return waiters;
  }

  private void reply(Waiter waiter, JobAnswer answer, Actions out) {
    if (waiter.host() == null) {
      byRequest.remove(waiter.number());
      out.add(new Action.Reply(waiter.number(), answer));
    } else {
      out.send(waiter.host(), new PeerMessage.ForwardReply(waiter.number(), answer));
    }
  }

  private static JobAnswer conflict(SubmissionId id) {
    String detail = "the submission id was used with another body";
    return JobAnswer.failed(id, ErrorKind.SUBMISSION_CONFLICT, detail);
  }

  /** This request has started nothing, but an earlier one of the same submission may have. */
  private JobAnswer unclaimed(long now, SubmissionId id, ErrorKind kind, String detail) {
    return JobAnswer.failed(id, kind, detail)
        .withRunState(RunState.UNKNOWN)
        .withRetryAt(retryAt(now));
  }

  private static long retryAt(long now) {
    return (now + RETRY_DELAY) / Policy.MICROS_PER_MILLI;
  }
}
