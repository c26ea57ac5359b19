package org.marjoramhoist.peer;

import org.marjoramhoist.message.PeerMessage;
import org.marjoramhoist.model.HostId;
import org.marjoramhoist.model.HostRef;

/** Hears of connections to other hosts and of their messages; called on connection threads. */
public interface PeerEvents {

  /** Takes in that messages can be sent to a host. */
  void linkUp(HostRef host, String address, String domain);

  /** Takes in that messages sent to a host may be lost. */
  void linkLost(HostId host);

  /** Takes a message of a host. */
  void received(HostRef from, PeerMessage message);
}
