package org.marjoramhoist.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.marjoramhoist.message.PeerMessage.LoanGrant;
import org.marjoramhoist.message.PeerMessage.LoanRequest;
import org.marjoramhoist.message.PeerMessage.LoanReturn;
import org.marjoramhoist.message.PeerMessage.Slots;
import org.marjoramhoist.model.HostId;
import org.marjoramhoist.model.HostRef;
import org.marjoramhoist.model.UpstreamId;
import org.marjoramhoist.model.WorkerId;

/**
 * Lends slots that this host leaves free to hosts with waiting tasks, and borrows from others.
 *
 * <p>A slot is used by one host at a time: the lender counts it as used until it is given back, or
 * its borrower is surely done with it. A loan is short; on its end the slot takes no further
 * attempt and is given back as soon as it is free. Confined to one thread.
 */
final class SlotLending {

  private static final long LOAN_TIME = Policy.MICROS_PER_SECOND;
  private static final long RECLAIM_AFTER = 10 * Policy.MICROS_PER_SECOND;
  private static final long ANSWER_TIMEOUT = 100 * Policy.MICROS_PER_MILLI;
  private static final long MIN_WAIT = 3 * Policy.MICROS_PER_MILLI;
  private static final int MAX_ASKERS = 256;
  private static final int ASKED_UNKNOWN = 2;
  private static final int MAX_ASKED_AT_ONCE = 3;
  private static final int KEPT_PART = 8;

  private record Loan(
      HostRef other, UpstreamState upstream, WorkerId worker, int count, long until) {}

  /** A host that waits for slots. */
  private record Asker(HostRef from, UpstreamState upstream, int count, long until) {}

  /** What is known of another host as a lender. */
  private static final class Lender {
    private HostRef ref;
    private Map<String, Integer> free = Map.of();
    private long nextAsk;
    private int asked;
    private String waitedFor;
  }

  private final Membership membership;
  private final Map<HostRef, Lender> lenders = new TreeMap<>();
  private final Deque<Loan> borrowed = new ArrayDeque<>();
  private final List<Loan> closing = new ArrayList<>();
  private final List<Loan> lent = new ArrayList<>();
  private final List<Asker> askers = new ArrayList<>();
  private int turn;

  SlotLending(Membership membership) {
    this.membership = membership;
  }

  /** Takes in how many slots of each upstream a host leaves free. */
  void heard(HostRef from, Map<String, Integer> free) {
    Lender lender = lenders.computeIfAbsent(from, ref -> new Lender());
    lender.ref = from;
    lender.free = new HashMap<>(free);
  }

  /** Takes in that the connection to a host broke: it neither lends nor borrows until heard. */
  void linkLost(HostId host) {
    lenders.keySet().removeIf(ref -> ref.host().equals(host));
    askers.removeIf(asker -> asker.from.host().equals(host));
  }

  /** Returns how many slots other hosts are known to leave free. */
  int knownFree(UpstreamId upstream) {
    int free = 0;
    for (Lender lender : lenders.values()) {
      if (membership.isAlive(lender.ref)) {
        free += lender.free.getOrDefault(upstream.value(), 0);
      }
    }
    return free;
  }

  /** Asks the hosts with the most free slots, if tasks wait here. */
  void ask(long now, UpstreamState upstream, Actions out) {
    int wanted = upstream.queue().waitingTasks();
    double wait = upstream.queuedWork() / Math.max(1, upstream.pool().usableSlots());
    if (wanted == 0) {
      withdraw(now, upstream.id().value(), out);
    }
    if (wanted == 0 || wait < MIN_WAIT) {
      return;
    }
    String name = upstream.id().value();
    int open = 0;
    int without = 0;
    for (Lender lender : lenders.values()) {
      if (now >= lender.nextAsk) {
        continue;
      }
      wanted -= lender.asked;
      open += lender.asked > 0 ? 1 : 0;
      without += lender.asked > 0 ? 0 : 1;
    }
    while (wanted > 0 && open < MAX_ASKED_AT_ONCE) {
      Lender best = bestLender(now, name);
      if (best == null) {
        break;
      }
      int count = Math.min(wanted, best.free.get(name));
      ask(now, best, name, count, out);
      wanted -= count;
      open++;
    }
    if (wanted > 0 && open == 0 && without < MAX_ASKED_AT_ONCE) {
      askAny(now, name, Math.min(wanted, ASKED_UNKNOWN), out);
    }
  }

  private static void ask(long now, Lender lender, String upstream, int count, Actions out) {
    lender.asked = count;
    lender.nextAsk = now + ANSWER_TIMEOUT;
    out.send(lender.ref.host(), new LoanRequest(upstream, count));
  }

  /** Tells the hosts at which a request waits that nothing is wanted any more. */
  private void withdraw(long now, String upstream, Actions out) {
    for (Lender lender : lenders.values()) {
      if (upstream.equals(lender.waitedFor)) {
        lender.waitedFor = null;
        if (now < lender.nextAsk) {
          lender.nextAsk = now;
          out.send(lender.ref.host(), new LoanRequest(upstream, 0));
        }
      }
    }
  }

  /** Asks one host in turn that is not known to have free slots; it answers once it has some. */
  private void askAny(long now, String upstream, int count, Actions out) {
    List<Lender> idle =
        lenders.values().stream()
            .filter(lender -> now >= lender.nextAsk && membership.isAlive(lender.ref))
            .toList();
    if (!idle.isEmpty()) {
      ask(now, idle.get(turn++ % idle.size()), upstream, count, out);
    }
  }

  private Lender bestLender(long now, String upstream) {
    Lender best = null;
    for (Iterator<Lender> all = lenders.values().iterator(); all.hasNext(); ) {
      Lender lender = all.next();
      if (!membership.isAlive(lender.ref)) {
        all.remove();
        continue;
      }
      int free = lender.free.getOrDefault(upstream, 0);
      boolean better = best == null || free > best.free.getOrDefault(upstream, 0);
      if (free > 0 && now >= lender.nextAsk && better) {
        best = lender;
      }
    }
    return best;
  }

  /** Returns how many free slots may be lent; a part of the share is kept for what arrives. */
  static int lendable(UpstreamState upstream) {
    if (!upstream.queue().isEmpty()) {
      return 0;
    }
    int kept = upstream.pool().ownSlots() / KEPT_PART;
    return Math.max(0, upstream.pool().freeSlots() - kept);
  }

  /**
   * Lends what is free here; if nothing is, the asker is told so at once, and lent what becomes
   * free within a short time, unless it withdraws its request by one for no slots.
   */
  void asked(long now, HostRef from, LoanRequest request, UpstreamState upstream, Actions out) {
    if (upstream == null) {
      return;
    }
    askers.removeIf(asker -> asker.from.equals(from) && asker.upstream == upstream);
    if (request.count() > 0 && askers.size() < MAX_ASKERS) {
      askers.add(new Asker(from, upstream, request.count(), now + ANSWER_TIMEOUT));
    }
    serve(now, upstream, out);
    if (askers.stream().anyMatch(asker -> asker.from.equals(from) && asker.upstream == upstream)) {
      out.send(from.host(), new LoanGrant(request.upstream(), List.of(), now));
    }
  }

  /** Lends to the hosts that have asked, in the order in which they asked. */
  void serve(long now, UpstreamState upstream, Actions out) {
    if (askers.isEmpty()) {
      return;
    }
    int left = lendable(upstream);
    for (Iterator<Asker> all = askers.iterator(); all.hasNext() && left > 0; ) {
      Asker asker = all.next();
      if (now >= asker.until) {
        all.remove();
      } else if (asker.upstream == upstream) {
        int given = lend(now, asker, left, out);
        left = given == 0 ? 0 : left - given;
        if (given > 0) {
          all.remove();
        }
      }
    }
  }

  /** Lends slots of the slowest workers first; returns how many. */
  private int lend(long now, Asker asker, int most, Actions out) {
    UpstreamState upstream = asker.upstream;
    List<Slots> slots = new ArrayList<>();
    int left = Math.min(most, asker.count);
    int given = 0;
    for (WorkerState worker : upstream.pool().slowestAvailable()) {
      int count = Math.min(left - given, worker.free(now));
      if (count > 0 && worker.borrowed() == 0) {
        slots.add(new Slots(worker.id().value(), count));
        worker.lend(count);
        upstream.pool().refresh(now, worker);
        lent.add(new Loan(asker.from, upstream, worker.id(), count, now + RECLAIM_AFTER));
        given += count;
      }
    }
    if (given > 0) {
      out.send(asker.from.host(), new LoanGrant(upstream.id().value(), slots, now + LOAN_TIME));
    }
    return given;
  }

  /** Takes in slots that another host lends. */
  void granted(long now, HostRef from, LoanGrant grant, UpstreamState upstream, Actions out) {
    int got = grant.slots().stream().mapToInt(Slots::count).sum();
    Lender lender = lenders.get(from);
    if (got == 0) {
      hadNone(lender, grant.upstream());
      return;
    }
    if (lender != null) {
      lender.waitedFor = null;
      lender.nextAsk = now;
      lender.free.merge(grant.upstream(), -got, Integer::sum);
      if (got < lender.asked) {
        lender.free.remove(grant.upstream());
      }
      lender.asked = 0;
    }
    if (upstream == null || upstream.queue().isEmpty()) {
      out.add(new Action.CountWaste(Waste.PROBE));
    }
    List<Slots> unusable = new ArrayList<>();
    for (Slots slots : grant.slots()) {
      WorkerId id = new WorkerId(slots.worker());
      WorkerState worker = upstream == null ? null : upstream.pool().get(id);
      if (worker == null) {
        unusable.add(slots);
        continue;
      }
      worker.borrow(slots.count());
      borrowed.add(new Loan(from, upstream, id, slots.count(), grant.until()));
      upstream.pool().refresh(now, worker);
    }
    if (!unusable.isEmpty()) {
      out.send(from.host(), new LoanReturn(grant.upstream(), unusable));
    }
  }

  /** Notes that a host has no slot free now; the request waits there until its next ask is due. */
  private static void hadNone(Lender lender, String upstream) {
    if (lender != null) {
      lender.free.remove(upstream);
      lender.asked = 0;
      lender.waitedFor = upstream;
    }
  }

  /** Takes in slots that a borrower gives back. */
  void returned(long now, HostRef from, LoanReturn loan, UpstreamState upstream) {
    for (Slots slots : loan.slots()) {
      reclaim(now, from, upstream, new WorkerId(slots.worker()), slots.count());
    }
  }

  private void reclaim(long now, HostRef from, UpstreamState upstream, WorkerId id, int count) {
    int left = count;
    for (int i = 0; i < lent.size() && left > 0; i++) {
      Loan loan = lent.get(i);
      if (!loan.other.equals(from) || !loan.worker.equals(id) || loan.upstream != upstream) {
        continue;
      }
      int taken = Math.min(left, loan.count);
      left -= taken;
      takeBack(now, loan, taken);
      lent.remove(i--);
      if (taken < loan.count) {
        lent.add(new Loan(loan.other, loan.upstream, loan.worker, loan.count - taken, loan.until));
      }
    }
  }

  private static void takeBack(long now, Loan loan, int count) {
    WorkerState worker = loan.upstream.pool().get(loan.worker);
    if (worker != null) {
      worker.takeBack(count);
      loan.upstream.pool().refresh(now, worker);
    }
  }

  /** Ends loans that are over or not needed, and gives free slots back. */
  void tick(long now, UpstreamState upstream, Actions out) {
    lent.removeIf(
        loan -> {
          boolean over = now >= loan.until;
          if (over) {
            takeBack(now, loan, loan.count);
          }
          return over;
        });
    boolean idle = upstream.queue().isEmpty();
    for (Iterator<Loan> all = borrowed.iterator(); all.hasNext(); ) {
      Loan loan = all.next();
      if (loan.upstream == upstream && (idle || now >= loan.until)) {
        all.remove();
        close(now, loan);
      }
    }
    giveBack(upstream, out);
  }

  private void close(long now, Loan loan) {
    WorkerState worker = loan.upstream.pool().get(loan.worker);
    if (worker != null) {
      worker.closeLoan(loan.count);
      loan.upstream.pool().refresh(now, worker);
      closing.add(loan);
    }
  }

  private void giveBack(UpstreamState upstream, Actions out) {
    Map<HostRef, List<Slots>> back = new TreeMap<>();
    for (int i = 0; i < closing.size(); i++) {
      Loan loan = closing.get(i);
      WorkerState worker = upstream.pool().get(loan.worker);
      if (loan.upstream != upstream || worker == null) {
        continue;
      }
      int count = Math.min(loan.count, worker.returnable());
      if (count == 0) {
        continue;
      }
      worker.returned(count);
      back.computeIfAbsent(loan.other, ref -> new ArrayList<>())
          .add(new Slots(loan.worker.value(), count));
      closing.remove(i--);
      if (count < loan.count) {
        closing.add(new Loan(loan.other, upstream, loan.worker, loan.count - count, loan.until));
      }
    }
    back.forEach(
        (ref, slots) -> out.send(ref.host(), new LoanReturn(upstream.id().value(), slots)));
  }
}
