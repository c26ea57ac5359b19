package org.marjoramhoist.host;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.marjoramhoist.json.InvalidDocumentException;
import org.marjoramhoist.model.ErrorKind;
import org.marjoramhoist.platform.Store;
import org.marjoramhoist.platform.Store.Condition;
import org.marjoramhoist.platform.Store.Op;
import org.marjoramhoist.platform.StoreKeys;
import org.marjoramhoist.resource.ClassSpec;
import org.marjoramhoist.resource.Declarations;
import org.marjoramhoist.resource.Declarations.Declared;
import org.marjoramhoist.resource.Kind;
import org.marjoramhoist.resource.ResourceDoc;
import org.marjoramhoist.resource.ResourceKey;

/**
 * Changes the declared resources in the store, all or nothing.
 *
 * <p>A change is based on the versions that the documents name, or on those just read; it takes
 * effect only if they still stand. Futures complete with {@link ApplyResult} and never fail. Safe
 * for use by several threads.
 */
final class ConfigService {

  private static final int MAX_TRIES = 3;

  private final Store store;

  ConfigService(Store store) {
    this.store = store;
  }

  /** A change of one resource: {@code created}, {@code changed}, {@code deleted}, or unchanged. */
  record Change(String resource, String what, List<String> fields) {}

  /**
   * What became of a change.
   *
   * @param error what went wrong; null if it took effect
   * @param detail what went wrong, in words
   * @param revision the revision of the configuration that holds the change
   * @param changes the change of each resource
   */
  record ApplyResult(ErrorKind error, String detail, long revision, List<Change> changes) {}

  private record Current(Map<String, Store.Entry> entries, long headRevision) {}

  /** Declares resources; {@code prune} deletes the others of the same kinds. */
  CompletableFuture<ApplyResult> apply(List<Declared> declared, boolean dryRun, boolean prune) {
    Map<String, Declared> wanted = new TreeMap<>();
    for (Declared item : declared) {
      if (wanted.put(item.key().toString(), item) != null) {
        return done(ErrorKind.INVALID_DECLARATION, item.key() + " is declared twice");
      }
    }
    return attempt(wanted, Set.of(), prune, dryRun, MAX_TRIES);
  }

  /** Deletes a resource; a version of -1 stands for whichever there is. */
  CompletableFuture<ApplyResult> delete(ResourceKey key, long version) {
    return read()
        .thenCompose(
            current -> {
              Store.Entry entry = current.entries.get(key.toString());
              if (entry == null) {
                return done(ErrorKind.NOT_FOUND, key + " is not declared");
              }
              if (version >= 0 && version != entry.modRevision()) {
                String detail = key + " has version " + entry.modRevision();
                return done(ErrorKind.VERSION_CONFLICT, detail);
              }
              return attempt(Map.of(), Set.of(key.toString()), false, false, MAX_TRIES);
            })
        .exceptionally(ConfigService::unavailable);
  }

  private CompletableFuture<ApplyResult> attempt(
      Map<String, Declared> wanted,
      Set<String> deleted,
      boolean prune,
      boolean dryRun,
      int triesLeft) {
    return read()
        .thenCompose(current -> change(current, wanted, deleted, prune, dryRun, triesLeft))
        .exceptionally(ConfigService::unavailable);
  }

  private CompletableFuture<ApplyResult> change(
      Current current,
      Map<String, Declared> wanted,
      Set<String> deleted,
      boolean prune,
      boolean dryRun,
      int triesLeft) {
    Set<String> gone = new HashSet<>(deleted);
    if (prune) {
      gone.addAll(pruned(current, wanted));
    }
    for (Declared item : wanted.values()) {
      ApplyResult conflict = conflictOf(item, current.entries.get(item.key().toString()));
      if (conflict != null) {
        return CompletableFuture.completedFuture(conflict);
      }
    }
    String dangling = danglingReference(current, wanted, gone);
    if (dangling != null) {
      return done(ErrorKind.INVALID_DECLARATION, dangling);
    }
    List<Change> changes = changesOf(current, wanted, gone);
    boolean same = changes.stream().allMatch(change -> change.what.equals("unchanged"));
    if (dryRun || same) {
      return CompletableFuture.completedFuture(
          new ApplyResult(null, "", current.headRevision, changes));
    }
    return write(current, wanted, gone, changes)
        .thenCompose(
            result -> {
              if (result.committed()) {
                return CompletableFuture.completedFuture(
                    new ApplyResult(null, "", result.revision(), changes));
              }
              if (triesLeft > 1) {
                return attempt(wanted, deleted, prune, dryRun, triesLeft - 1);
              }
              return done(ErrorKind.VERSION_CONFLICT, "others keep changing the configuration");
            });
  }

  private static Set<String> pruned(Current current, Map<String, Declared> wanted) {
    Set<Kind> kinds = new HashSet<>();
    wanted.values().forEach(item -> kinds.add(item.key().kind()));
    Set<String> gone = new HashSet<>();
    for (String key : current.entries.keySet()) {
      if (kinds.contains(ResourceKey.parse(key).kind()) && !wanted.containsKey(key)) {
        gone.add(key);
      }
    }
    return gone;
  }

  private static ApplyResult conflictOf(Declared item, Store.Entry entry) {
    long held = entry == null ? 0 : entry.modRevision();
    if (item.expectedVersion() < 0 || item.expectedVersion() == held) {
      return null;
    }
    String fields = "";
    if (entry != null) {
      fields = "; fields that differ: " + JsonDiff.fields(entry.value(), item.json());
    }
    String detail =
        item.key() + " has version " + held + ", not " + item.expectedVersion() + fields;
    return new ApplyResult(ErrorKind.VERSION_CONFLICT, detail, 0, List.of());
  }

  private static String danglingReference(
      Current current, Map<String, Declared> wanted, Set<String> gone) {
    Set<String> after = new HashSet<>(current.entries.keySet());
    after.addAll(wanted.keySet());
    after.removeAll(gone);
    for (String key : after) {
      if (ResourceKey.parse(key).kind() != Kind.CLASS) {
        continue;
      }
      ClassSpec spec = classOf(key, current, wanted);
      if (spec == null) {
        continue;
      }
      String upstream = new ResourceKey(Kind.UPSTREAM, spec.upstream().value()).toString();
      if (!after.contains(upstream)) {
        return key + " names " + upstream + ", which is not declared";
      }
    }
    return null;
  }

  private static ClassSpec classOf(String key, Current current, Map<String, Declared> wanted) {
    Declared item = wanted.get(key);
    if (item != null) {
      return (ClassSpec) item.spec();
    }
    try {
      String json = current.entries.get(key).value();
      return (ClassSpec) Declarations.parseSpec(ResourceKey.parse(key), json);
    } catch (InvalidDocumentException e) {
      return null;
    }
  }

  private static List<Change> changesOf(
      Current current, Map<String, Declared> wanted, Set<String> gone) {
    List<Change> changes = new ArrayList<>();
    wanted.forEach(
        (key, item) -> {
          Store.Entry entry = current.entries.get(key);
          if (entry == null) {
            changes.add(new Change(key, "created", List.of()));
            return;
          }
          List<String> fields = JsonDiff.fields(entry.value(), item.json());
          changes.add(new Change(key, fields.isEmpty() ? "unchanged" : "changed", fields));
        });
    gone.forEach(key -> changes.add(new Change(key, "deleted", List.of())));
    return changes;
  }

  private CompletableFuture<Store.TxnResult> write(
      Current current, Map<String, Declared> wanted, Set<String> gone, List<Change> changes) {
    List<Op> steps = new ArrayList<>();
    for (Change change : changes) {
      String key = StoreKeys.CONFIG + change.resource;
      if (change.what.equals("deleted")) {
        steps.add(new Op.Delete(key, key + '\0'));
      } else if (!change.what.equals("unchanged")) {
        steps.add(new Op.Put(key, wanted.get(change.resource).json(), 0));
      }
    }
    steps.add(new Op.Put(StoreKeys.CONFIG_HEAD, String.valueOf(changes.size() + gone.size()), 0));
    Condition condition = new Condition(StoreKeys.CONFIG_HEAD, current.headRevision);
    return store.txn(List.of(condition), steps);
  }

  private CompletableFuture<Current> read() {
    return store
        .range(StoreKeys.CONFIG, Store.prefixRangeEnd(StoreKeys.CONFIG))
        .thenApply(
            range -> {
              Map<String, Store.Entry> entries = new TreeMap<>();
              long head = 0;
              for (Store.Entry entry : range.entries()) {
                if (entry.key().equals(StoreKeys.CONFIG_HEAD)) {
                  head = entry.modRevision();
                } else {
                  entries.put(entry.key().substring(StoreKeys.CONFIG.length()), entry);
                }
              }
              return new Current(entries, head);
            });
  }

  /** Returns every resource as it stands in the store. */
  CompletableFuture<List<ResourceDoc>> list() {
    return read()
        .thenApply(
            current ->
                current.entries.entrySet().stream()
                    .map(
                        e ->
                            new ResourceDoc(
                                e.getKey(), e.getValue().modRevision(), e.getValue().value()))
                    .toList());
  }

  private static CompletableFuture<ApplyResult> done(ErrorKind error, String detail) {
    return CompletableFuture.completedFuture(new ApplyResult(error, detail, 0, List.of()));
  }

  private static ApplyResult unavailable(Throwable error) {
    String detail =
        "the store gave no answer; read the resource again to see whether the change took effect: "
            + error.getMessage();
    return new ApplyResult(ErrorKind.STORE_UNAVAILABLE, detail, 0, List.of());
  }
}
