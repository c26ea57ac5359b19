package org.marjoramhoist.listener;

import java.nio.charset.StandardCharsets;

/**
 * Why a request is refused before any handler sees it: nothing of it has run.
 *
 * <p>None has a status that says more, that its job never runs: the job may have been submitted
 * before.
 */
public enum Refusal {
  /** It is not a request, or its length can be read in two ways. */
  MALFORMED(400, "Bad Request"),
  /** It did not arrive in time. */
  TOO_SLOW(408, "Request Timeout"),
  /** Its body is too long. */
  BODY_TOO_LONG(413, "Content Too Large"),
  /** Its head, or what surrounds the chunks of its body, is too long. */
  HEAD_TOO_LONG(431, "Request Header Fields Too Large"),
  /** Its body has an unknown transfer coding. */
  UNKNOWN_CODING(501, "Not Implemented"),
  /** It has an unknown version. */
  UNKNOWN_VERSION(505, "HTTP Version Not Supported");

  private static final String BODY = "{}";

  private final int status;
  private final String reason;

  Refusal(int status, String reason) {
    this.status = status;
    this.reason = reason;
  }

  /** Returns the bytes of the response, after which the connection ends. */
  byte[] response() {
    return ("HTTP/1.1 "
            + status
            + " "
            + reason
            + "\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: "
            + BODY.length()
            + "\r\n\r\n"
            + BODY)
        .getBytes(StandardCharsets.US_ASCII);
  }
}
