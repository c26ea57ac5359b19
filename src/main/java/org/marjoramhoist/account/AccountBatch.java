package org.marjoramhoist.account;

import java.util.List;
import org.marjoramhoist.decision.AccountEntry;

/**
 * A batch of accounts as one host incarnation has written it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param seq the number of the batch, from 1 without a gap
 * @param last whether the incarnation wrote nothing after it
 * @param rows the accounts
 */
public record AccountBatch(long seq, boolean last, List<AccountEntry> rows) {}
