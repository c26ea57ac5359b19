package org.marjoramhoist.entry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.message.HostMessage.DrainCopy;
import org.marjoramhoist.message.HostMessage.DrainQuery;
import org.marjoramhoist.platform.KeyValueClient.Change;
import org.marjoramhoist.platform.KeyValueClient.Item;
import org.marjoramhoist.platform.StoreDocuments;

/**
 * The failure domains that the operator has marked as drained, as read from the store or received
 * from another host.
 *
 * <p>Invariant: the store revision of the active set never decreases. The set read from the store
 * is kept separately, since a copy from another host may be newer than this host's watch, which
 * then still delivers older changes. Confined to the event loop's thread, except for {@link
 * #current} and {@link #revision}.
 */
final class DrainedDomains implements PrefixWatch.Listener {

  /** The revision while no set is known. */
  static final long UNKNOWN = 0;

  /**
   * A set of drained domains.
   *
   * @param revision the store revision of the set; {@link #UNKNOWN} if none is known
   */
  private record Snapshot(long revision, Set<String> domains) {}

  private final List<Consumer<Set<String>>> listeners = new ArrayList<>();
  private final Set<String> storedDomains = new HashSet<>();
  private volatile Snapshot active = new Snapshot(UNKNOWN, Set.of());

  /** Returns the store revision of the active set; {@link #UNKNOWN} if none is known. */
  long revision() {
    return active.revision();
  }

  /**
   * Returns the active set; empty until it was read from the store or received from another host.
   */
  Optional<Set<String>> current() {
    Snapshot now = active;
    return now.revision() == UNKNOWN ? Optional.empty() : Optional.of(now.domains());
  }

  /**
   * Adds a listener, which receives the active set, if it is known, and each later one.
   *
   * @return cancels the subscription
   */
  Runnable subscribe(Consumer<Set<String>> listener) {
    listeners.add(listener);
    current().ifPresent(listener);
    return () -> listeners.remove(listener);
  }

  @Override
  public void replaced(List<Item> items, long revision) {
    storedDomains.clear();
    items.forEach(item -> StoreDocuments.parseDrainKey(item.key()).ifPresent(storedDomains::add));
    applyStored(revision);
  }

  @Override
  public void changed(Change change) {
    Optional<String> domain = StoreDocuments.parseDrainKey(change.item().key());
    if (domain.isEmpty()) {
      return;
    }
    if (change.isDeletion()) {
      storedDomains.remove(domain.get());
    } else {
      storedDomains.add(domain.get());
    }
    applyStored(change.item().revision());
  }

  private void applyStored(long revision) {
    // A transaction may change several keys at one revision, so an equal revision is applied too.
    if (revision >= active.revision()) {
      // A store that was never written to may be at revision 0.
      activate(Math.max(revision, UNKNOWN + 1), storedDomains, "store");
    }
  }

  /** Requests another host's set if its revision is newer. */
  void requestIfNewer(long otherRevision, Consumer<HostMessage> sender) {
    if (otherRevision > revision()) {
      sender.accept(new DrainQuery(revision()));
    }
  }

  /**
   * Handles a message from another host.
   *
   * @param sender sends the reply
   * @return whether the message concerns drained domains
   */
  boolean handleMessage(HostMessage message, Consumer<HostMessage> sender) {
    if (message instanceof DrainQuery query) {
      if (revision() > query.newerThan()) {
        sender.accept(new DrainCopy(revision(), active.domains()));
      }
      return true;
    }
    if (message instanceof DrainCopy copy) {
      if (copy.revision() > revision()) {
        activate(copy.revision(), copy.domains(), "peer");
      }
      return true;
    }
    return false;
  }

  private void activate(long revision, Set<String> domains, String source) {
    Snapshot previous = active;
    active = new Snapshot(revision, Set.copyOf(domains));
    boolean wasKnown = previous.revision() != UNKNOWN;
    if (wasKnown && previous.domains().equals(active.domains())) {
      return;
    }
    logAdded(LogEvent.DOMAIN_DRAINED, previous.domains(), active.domains(), source);
    logAdded(LogEvent.DOMAIN_RESTORED, active.domains(), previous.domains(), source);
    List.copyOf(listeners).forEach(listener -> listener.accept(active.domains()));
  }

  private void logAdded(LogEvent event, Set<String> from, Set<String> to, String source) {
    Set<String> added = new TreeSet<>(to);
    added.removeAll(from);
    added.forEach(
        domain ->
            EventLog.info(event, "domain={} revision={} source={}", domain, revision(), source));
  }
}
