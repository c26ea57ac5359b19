package org.marjoramhoist.decision;

import java.util.Optional;
import org.marjoramhoist.model.HostId;
import org.marjoramhoist.model.HostRef;
import org.marjoramhoist.model.SubmissionId;

/**
 * Makes and reads submission ids that are bound to the incarnation that issued them.
 *
 * <p>Only that incarnation ever starts such a submission, so no fault can start it twice, and no
 * other host or store is needed to decide. Stateless and safe for use by several threads.
 */
public final class Tickets {

  private static final String PREFIX = "t@";
  private static final char SEPARATOR = '@';
  private static final int RADIX = 36;
  private static final int FIELDS = 5;

  private Tickets() {}

  /**
   * A ticket as read from a submission id.
   *
   * @param issuer the incarnation that issued it
   * @param seq the issuer's number of the ticket
   * @param expiry until when it may be used, in microseconds since the epoch
   */
  public record Ticket(HostRef issuer, long seq, long expiry) {}

  /** Returns the submission id of a new ticket. */
  public static SubmissionId issue(HostRef issuer, long seq, long expiry) {
    return new SubmissionId(
        PREFIX
            + issuer.host()
            + SEPARATOR
            + Long.toString(issuer.boot(), RADIX)
            + SEPARATOR
            + Long.toString(seq, RADIX)
            + SEPARATOR
            + Long.toString(expiry, RADIX));
  }

  /** Reads a ticket; empty if the id is one that a caller made. */
  public static Optional<Ticket> parse(SubmissionId id) {
    if (!id.value().startsWith(PREFIX)) {
      return Optional.empty();
    }
    String[] fields = id.value().split(String.valueOf(SEPARATOR), -1);
    if (fields.length != FIELDS) {
      return Optional.empty();
    }
    try {
      HostRef issuer = new HostRef(new HostId(fields[1]), Long.parseLong(fields[2], RADIX));
      long seq = Long.parseLong(fields[3], RADIX);
      return Optional.of(new Ticket(issuer, seq, Long.parseLong(fields[4], RADIX)));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
