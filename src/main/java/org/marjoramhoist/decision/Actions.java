package org.marjoramhoist.decision;

import java.util.ArrayList;
import java.util.List;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.PeerMessage;
import org.marjoramhoist.model.HostId;

/**
 * Collects the actions of one step.
 *
 * <p>Confined to one thread.
 */
public final class Actions {

  private List<Action> list = new ArrayList<>();

  /** Adds an action. */
  public void add(Action action) {
    list.add(action);
  }

  /** Adds a message to a host. */
  public void send(HostId to, PeerMessage message) {
    list.add(new Action.Send(to, message));
  }

  /** Adds a log event. */
  public void log(LogEvent event, String detail) {
    list.add(new Action.Log(event, detail));
  }

  /** Returns the actions added so far and forgets them. */
  public List<Action> take() {
    List<Action> taken = list;
    list = new ArrayList<>();
    return taken;
  }
}
