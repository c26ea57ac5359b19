package org.marjoramhoist.entry;

import org.marjoramhoist.message.HostMessage;

/** The way from an entry host to the leader of a term, be it another host or itself. */
interface LeaderChannel {

  /** Returns the leader's term. */
  long term();

  /** Sends a message to the leader; it may be lost with the connection. */
  void send(HostMessage message);
}
