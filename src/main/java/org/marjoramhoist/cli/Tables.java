package org.marjoramhoist.cli;

import java.util.ArrayList;
import java.util.List;

/**
 * Lays out rows as a table of text.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class Tables {

  private static final String GAP = "  ";

  private Tables() {}

  /** Returns the table, each row ended by a line break. */
  static String of(List<String> header, List<List<String>> rows) {
    List<List<String>> all = new ArrayList<>();
    all.add(header);
    all.addAll(rows);
    int[] widths = new int[header.size()];
    for (List<String> row : all) {
      for (int i = 0; i < widths.length; i++) {
        widths[i] = Math.max(widths[i], row.get(i).length());
      }
    }
    StringBuilder text = new StringBuilder();
    for (List<String> row : all) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < widths.length; i++) {
        line.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length())).append(GAP);
      }
      text.append(line.toString().stripTrailing()).append('\n');
    }
    return text.toString();
  }
}
