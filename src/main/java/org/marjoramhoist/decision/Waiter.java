package org.marjoramhoist.decision;

import org.marjoramhoist.model.HostId;

/**
 * Who waits for an answer: a caller's request here, or a call of another host.
 *
 * <p>Immutable.
 *
 * @param host the other host; null for a request of a caller
 * @param number the number of the request or call
 */
record Waiter(HostId host, long number) {

  static Waiter of(long request) {
    return new Waiter(null, request);
  }

  static Waiter of(HostId host, long call) {
    return new Waiter(host, call);
  }
}
