package org.marjoramhoist.entry;

import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.peer.FrameLink;

/**
 * A channel to a leader on another host.
 *
 * <p>Confined to the event loop's thread.
 *
 * @param term the leader's term; 0 for the leader of a failure domain
 * @param link the link to the leader
 */
record RemoteLeaderChannel(long term, FrameLink link) implements LeaderChannel {

  @Override
  public String linkId() {
    return link.id();
  }

  @Override
  public void send(HostMessage message) {
    link.send(message);
  }
}
