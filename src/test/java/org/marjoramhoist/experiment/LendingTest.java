package org.marjoramhoist.experiment;

import static com.google.common.truth.Truth.assertThat;
import static org.marjoramhoist.experiment.Fleets.MILLI;
import static org.marjoramhoist.experiment.Fleets.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.decision.Action;
import org.marjoramhoist.decision.Event;
import org.marjoramhoist.decision.HostCore;
import org.marjoramhoist.decision.Outcome;
import org.marjoramhoist.decision.Policy;
import org.marjoramhoist.message.PeerMessage;
import org.marjoramhoist.message.PeerMessage.Heartbeat;
import org.marjoramhoist.message.PeerMessage.LoanGrant;
import org.marjoramhoist.message.PeerMessage.LoanRequest;
import org.marjoramhoist.message.PeerMessage.Slots;
import org.marjoramhoist.model.AttemptId;
import org.marjoramhoist.model.DomainId;
import org.marjoramhoist.model.HostId;
import org.marjoramhoist.model.HostRef;
import org.marjoramhoist.model.JobSpec;
import org.marjoramhoist.model.SubmissionId;

/** What one host asks of others and lends to them, message by message. */
class LendingTest {

  private static final String UPSTREAM = "u";

  /** Four workers of four slots, all of them this host's share. */
  private static final int OWN_SLOTS = 16;

  private static final DomainId HERE = new DomainId("d0");
  private static final DomainId THERE = new DomainId("d1");
  private static final HostRef NEAR = new HostRef(new HostId("d1-h0"), 1);
  private static final HostRef FAR = new HostRef(new HostId("d1-h1"), 1);

  private final FleetPlan plan = Fleets.plan(2, 1, OWN_SLOTS / 4);
  private final HostCore core =
      new HostCore(
          Policy.of(new HostRef(new HostId("d0-h0"), 1), "here:1", HERE, List.of(HERE, THERE)),
          VirtualFleet.START);
  private long now = VirtualFleet.START;
  private long requests;

  @BeforeEach
  void declare() {
    core.step(now, new Event.ConfigSeen(-1, 1, Declared.of(plan), List.of()));
    hear(NEAR, 0);
    hear(FAR, 0);
  }

  private List<Action> step(Event event) {
    now += MILLI;
    return core.step(now, event);
  }

  private List<Action> receive(HostRef from, PeerMessage message) {
    return step(new Event.Received(from, message));
  }

  private void hear(HostRef from, int freeSlots) {
    receive(
        from,
        new Heartbeat(
            1,
            from.host() + ":1",
            THERE.value(),
            false,
            1,
            List.of(),
            Map.of("free:" + UPSTREAM, freeSlots),
            Map.of(),
            List.of()));
  }

  /** Submits a job under a ticket, so that no claim is needed. */
  private List<Action> submit(int tasks, long deadlineMillis) {
    long request = ++requests;
    Action.ReplyTicket ticket = (Action.ReplyTicket) step(new Event.TicketAsked(request)).get(0);
    SubmissionId id = ticket.ticket();
    JobSpec job = Fleets.job(id.value(), now, deadlineMillis, tasks, "0");
    return step(new Event.Submitted(request, job));
  }

  private static List<AttemptId> started(List<Action> actions) {
    return actions.stream()
        .filter(Action.Start.class::isInstance)
        .map(action -> ((Action.Start) action).attempt())
        .toList();
  }

  private static List<PeerMessage> sent(List<Action> actions, HostRef to) {
    List<PeerMessage> sent = new ArrayList<>();
    for (Action action : actions) {
      if (action instanceof Action.Send send && send.to().equals(to.host())) {
        sent.add(send.message());
      }
    }
    return sent;
  }

  private static int slotsLent(List<Action> actions, HostRef to) {
    return sent(actions, to).stream()
        .filter(LoanGrant.class::isInstance)
        .flatMap(message -> ((LoanGrant) message).slots().stream())
        .mapToInt(Slots::count)
        .sum();
  }

  @Test
  void asksNoHostWhoseConnectionBroke() {
    hear(NEAR, 20);
    hear(FAR, 10);
    step(new Event.LinkLost(NEAR.host()));
    List<Action> actions = submit(OWN_SLOTS + 5, 20_000);
    assertThat(sent(actions, NEAR)).isEmpty();
    assertThat(sent(actions, FAR)).containsExactly(new LoanRequest(UPSTREAM, 5));
  }

  @Test
  void lendsNothingToHostWhoseConnectionBroke() {
    List<AttemptId> running = started(submit(OWN_SLOTS, 20_000));
    receive(NEAR, new LoanRequest(UPSTREAM, 3));
    step(new Event.LinkLost(NEAR.host()));
    List<Action> actions = new ArrayList<>();
    for (AttemptId attempt : running) {
      actions.addAll(step(new Event.AttemptEnded(attempt, new Outcome.Succeeded("", MILLI))));
    }
    assertThat(slotsLent(actions, NEAR)).isEqualTo(0);
  }

  @Test
  void saysAtOnceThatNoSlotIsFree() {
    submit(OWN_SLOTS, 20_000);
    List<Action> actions = receive(NEAR, new LoanRequest(UPSTREAM, 3));
    assertThat(sent(actions, NEAR)).containsExactly(new LoanGrant(UPSTREAM, List.of(), now));
  }

  @Test
  void asksAnotherHostOnceOneHasNoSlotFree() {
    hear(NEAR, 20);
    hear(FAR, 10);
    List<Action> actions = submit(OWN_SLOTS + 5, 20_000);
    assertThat(sent(actions, NEAR)).containsExactly(new LoanRequest(UPSTREAM, 5));
    assertThat(sent(actions, FAR)).isEmpty();
    actions = receive(NEAR, new LoanGrant(UPSTREAM, List.of(), now));
    assertThat(sent(actions, NEAR)).isEmpty();
    assertThat(sent(actions, FAR)).containsExactly(new LoanRequest(UPSTREAM, 5));
  }

  @Test
  void withdrawsItsRequestOnceNothingWaits() {
    hear(NEAR, 20);
    List<AttemptId> running = started(submit(OWN_SLOTS + 1, 20_000));
    receive(NEAR, new LoanGrant(UPSTREAM, List.of(), now));
    List<Action> actions =
        step(new Event.AttemptEnded(running.get(0), new Outcome.Succeeded("", MILLI)));
    assertThat(started(actions)).hasSize(1);
    assertThat(sent(actions, NEAR)).containsExactly(new LoanRequest(UPSTREAM, 0));
  }

  @Test
  void lendsNothingOnceRequestIsWithdrawn() {
    List<AttemptId> running = started(submit(OWN_SLOTS, 20_000));
    receive(NEAR, new LoanRequest(UPSTREAM, 3));
    List<Action> actions = new ArrayList<>(receive(NEAR, new LoanRequest(UPSTREAM, 0)));
    assertThat(sent(actions, NEAR)).isEmpty();
    for (AttemptId attempt : running) {
      actions.addAll(step(new Event.AttemptEnded(attempt, new Outcome.Succeeded("", MILLI))));
    }
    assertThat(slotsLent(actions, NEAR)).isEqualTo(0);
  }

  @Test
  void keepsPartOfItsShareHoweverManyHostsAsk() {
    int kept = OWN_SLOTS / 8;
    assertThat(slotsLent(receive(NEAR, new LoanRequest(UPSTREAM, 20)), NEAR))
        .isEqualTo(OWN_SLOTS - kept);
    assertThat(slotsLent(receive(FAR, new LoanRequest(UPSTREAM, 20)), FAR)).isEqualTo(0);
    assertThat(started(submit(kept, 20_000))).hasSize(kept);
  }

  @Test
  void refusesNothingSinceItsSlotsAreLentForMoment() {
    receive(NEAR, new LoanRequest(UPSTREAM, 20));
    long millisOnTwoSlots = 4_000;
    int tasks = (int) (2 * millisOnTwoSlots / 200);
    List<Action> actions = submit(tasks, millisOnTwoSlots - SECOND / MILLI);
    assertThat(started(actions)).hasSize(2);
    assertThat(actions.stream().anyMatch(Action.Reply.class::isInstance)).isFalse();
  }
}
