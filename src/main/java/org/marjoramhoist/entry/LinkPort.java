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
record LinkPort(long term, FrameLink link) implements LeaderPort {

  @Override
  public void send(HostMessage message) {
    link.send(message);
  }
}
