package org.marjoramhoist.entry;

import org.marjoramhoist.message.HostMessage;

/** A channel from an entry host to the leader of a term, which is another host or this one. */
interface LeaderChannel {

  /** Returns the leader's term. */
  long term();

  /** Returns the ID of the link to the leader, for logs; {@code local} if it is this host. */
  default String linkId() {
    return "local";
  }

  /**
   * Returns when the leader sent the last heartbeat that was received here, in microseconds on its
   * steady clock. A leader on this host is heard all the time.
   */
  default long heartbeatSentAt() {
    return EventLoop.now();
  }

  /** Sends a message to the leader; it may be lost with the connection. */
  void send(HostMessage message);
}
