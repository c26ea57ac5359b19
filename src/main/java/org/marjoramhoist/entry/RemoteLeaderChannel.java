package org.marjoramhoist.entry;

import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.peer.FrameLink;

/**
 * A channel to a leader on another host.
 *
 * <p>Invariant: what is sent names a heartbeat that was received on the same link before. Confined
 * to the event loop's thread.
 */
final class RemoteLeaderChannel implements LeaderChannel {

  private final long term;
  private final FrameLink link;
  private final long foundBy;
  private long heartbeatSentAt;

  /**
   * Creates a channel.
   *
   * @param term the leader's term; 0 for the leader of a failure domain
   * @param link the link to the leader
   * @param heartbeatSentAt the time that the heartbeat carried by which the leader was found
   */
  RemoteLeaderChannel(long term, FrameLink link, long heartbeatSentAt) {
    this.term = term;
    this.link = link;
    this.foundBy = heartbeatSentAt;
    this.heartbeatSentAt = heartbeatSentAt;
  }

  @Override
  public long term() {
    return term;
  }

  FrameLink link() {
    return link;
  }

  /** Returns the time that the heartbeat carried by which the leader was found. */
  long foundBy() {
    return foundBy;
  }

  /** Records a heartbeat by the time that it carried. */
  void heartbeatReceived(long sentAt) {
    heartbeatSentAt = sentAt;
  }

  @Override
  public long heartbeatSentAt() {
    return heartbeatSentAt;
  }

  @Override
  public String linkId() {
    return link.id();
  }

  @Override
  public void send(HostMessage message) {
    link.send(message);
  }
}
