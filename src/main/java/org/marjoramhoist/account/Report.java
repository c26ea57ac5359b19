package org.marjoramhoist.account;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.marjoramhoist.decision.AccountEntry;
import org.marjoramhoist.json.JsonText;
import org.marjoramhoist.platform.Store;
import org.marjoramhoist.platform.StoreKeys;

/**
 * Totals of what ran and what was refused, made from the stored batches.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param columns the names of the grouping columns
 * @param rows the totals by group
 * @param gaps what is missing from them, in words; empty if nothing is
 */
public record Report(List<String> columns, List<Row> rows, List<String> gaps) {

  /**
   * The totals of one group.
   *
   * @param group the values of the grouping columns
   * @param tasks runs and refusals
   * @param ok runs that yielded a result
   * @param refused tasks that were not run
   * @param failed runs that failed or whose outcome is unknown
   * @param costMicros worker time, in microseconds
   */
  public record Row(
      List<String> group, long tasks, long ok, long refused, long failed, long costMicros) {}

  private static final class Sum {
    private long tasks;
    private long ok;
    private long refused;
    private long failed;
    private long cost;

    void add(AccountEntry entry) {
      tasks += entry.tasks();
      cost += entry.costMicros();
      if (entry.outcome().equals("ok")) {
        ok += entry.tasks();
      } else if (entry.worker().isEmpty()) {
        refused += entry.tasks();
      } else {
        failed += entry.tasks();
      }
    }
  }

  /**
   * Makes a report.
   *
   * @param stored the stored batches, in the order of their keys
   * @param from start of the period, in microseconds since the epoch
   * @param to end of the period, excluded
   * @param columns the grouping columns
   * @param alive incarnations, {@code host/boot}, that are known to run still
   */
  public static Report of(
      List<Store.Entry> stored, long from, long to, List<Column> columns, List<String> alive) {
    Map<String, Sum> sums = new TreeMap<>();
    Map<String, List<String>> groups = new TreeMap<>();
    Gaps gaps = new Gaps();
    for (Store.Entry entry : stored) {
      AccountBatch batch = read(entry, gaps);
      if (batch == null) {
        continue;
      }
      for (AccountEntry row : batch.rows()) {
        if (row.end() >= from && row.end() < to) {
          List<String> group = columns.stream().map(column -> column.of(row)).toList();
          String key = String.join("\u0000", group);
          groups.put(key, group);
          sums.computeIfAbsent(key, k -> new Sum()).add(row);
        }
      }
    }
    List<Row> rows = new ArrayList<>();
    sums.forEach(
        (key, s) -> rows.add(new Row(groups.get(key), s.tasks, s.ok, s.refused, s.failed, s.cost)));
    return new Report(columns.stream().map(Column::label).toList(), rows, gaps.found(alive));
  }

  private static AccountBatch read(Store.Entry entry, Gaps gaps) {
    try {
      AccountBatch batch = JsonText.MAPPER.readValue(entry.value(), AccountBatch.class);
      gaps.seen(entry.key().substring(StoreKeys.ACCOUNTS.length()), batch);
      return batch;
    } catch (JsonProcessingException e) {
      gaps.unreadable(entry.key());
      return null;
    }
  }
}
