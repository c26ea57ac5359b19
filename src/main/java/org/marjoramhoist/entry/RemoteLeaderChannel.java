package org.marjoramhoist.entry;

import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.peer.FrameLink;

/**
 * The way to another host that leads.
 *
 * <p>Confined to the loop's thread.
 *
 * @param term its term; 0 for the leader of a failure domain
 * @param link the link to it
 */
record RemoteLeaderChannel(long term, FrameLink link) implements LeaderChannel {

  @Override
  public void send(HostMessage message) {
    link.send(message);
  }
}
