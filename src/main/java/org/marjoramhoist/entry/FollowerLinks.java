package org.marjoramhoist.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.marjoramhoist.log.EventLog;
import org.marjoramhoist.log.LogEvent;
import org.marjoramhoist.message.HostMessage;
import org.marjoramhoist.peer.FrameLink;
import org.marjoramhoist.peer.FrameNetwork;

/**
 * The leader's links to the other hosts that are or recently were registered, one for each host.
 *
 * <p>A link that receives nothing for some time is replaced; a host that stays without a link is
 * reported as lost. Confined to the event loop's thread.
 */
final class FollowerLinks implements AutoCloseable {

  private static final long OPEN_TIMEOUT_MILLIS = 300;
  private static final long SILENCE_TIMEOUT_MICROS = 700_000;
  private static final long LOST_TIMEOUT_MICROS = 1_000_000;

  private static final class Follower {
    private String address;
    private FrameLink link;
    private boolean opening;
    private long leaderFoundBy;
    private long lastReceivedAt = EventLoop.now();
    private boolean lost = true;
  }

  private final String self;
  private final FrameNetwork network;
  private final Supplier<Map<String, String>> addresses;
  private final BiConsumer<String, HostMessage> onMessage;
  private Consumer<String> onOpened = host -> {};
  private final Consumer<String> onLost;
  private final Map<String, Follower> followers = new HashMap<>();
  private boolean receiving = true;
  private boolean closed;

  /**
   * Creates the links.
   *
   * @param self the name of this host, which gets no link
   * @param network opens links
   * @param addresses the peer addresses of the hosts, by name
   * @param onMessage receives the messages from the hosts
   * @param onLost receives the names of lost hosts
   */
  FollowerLinks(
      String self,
      FrameNetwork network,
      Supplier<Map<String, String>> addresses,
      BiConsumer<String, HostMessage> onMessage,
      Consumer<String> onLost) {
    this.self = self;
    this.network = network;
    this.addresses = addresses;
    this.onMessage = onMessage;
    this.onLost = onLost;
  }

  /** Sets a callback that receives the host name of each opened link. */
  void onOpened(Consumer<String> callback) {
    onOpened = callback;
  }

  /** Returns the names of the hosts with an open link. */
  List<String> connectedHosts() {
    return followers.entrySet().stream()
        .filter(each -> each.getValue().link != null)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Sends a heartbeat on each open link and opens missing links. */
  void sendHeartbeats(HostMessage heartbeat) {
    long now = EventLoop.now();
    Map<String, String> known = addresses.get();
    Set<String> names = new HashSet<>(followers.keySet());
    names.addAll(known.keySet());
    for (String name : names) {
      if (!name.equals(self)) {
        sendHeartbeat(name, known.get(name), heartbeat, now);
      }
    }
  }

  private void sendHeartbeat(String name, String address, HostMessage heartbeat, long now) {
    Follower follower = followers.computeIfAbsent(name, key -> new Follower());
    if (address != null) {
      follower.address = address;
    }
    if (follower.link != null && now - follower.lastReceivedAt > SILENCE_TIMEOUT_MICROS) {
      follower.link.close();
    }
    if (follower.link != null) {
      follower.link.send(heartbeat);
    } else if (!follower.opening && follower.address != null) {
      open(name, follower, heartbeat);
    }
    if (!follower.lost
        && follower.link == null
        && now - follower.lastReceivedAt > LOST_TIMEOUT_MICROS) {
      follower.lost = true;
      onLost.accept(name);
      if (address == null) {
        followers.remove(name);
      }
    }
  }

  private void open(String name, Follower follower, HostMessage heartbeat) {
    follower.opening = true;
    network.open(
        follower.address,
        OPEN_TIMEOUT_MILLIS,
        new NamedListener(name),
        link -> {
          follower.opening = false;
          if (closed) {
            link.close();
            return;
          }
          follower.link = link;
          follower.lastReceivedAt = EventLoop.now();
          follower.lost = false;
          EventLog.info(LogEvent.HOST_LINK_OPENED, "host={} link={}", name, link.id());
          link.send(heartbeat);
          onOpened.accept(name);
        },
        failure -> follower.opening = false);
  }

  /**
   * Records by which heartbeat a host has found this leader, as its reply says; returns whether the
   * host has found it anew.
   */
  boolean isFoundAnew(String host, long leaderFoundBy) {
    Follower follower = followers.get(host);
    if (follower == null || leaderFoundBy == 0 || leaderFoundBy == follower.leaderFoundBy) {
      return false;
    }
    follower.leaderFoundBy = leaderFoundBy;
    return true;
  }

  /** Sends a message to a host if its link is open. */
  void send(String host, HostMessage message) {
    Follower follower = followers.get(host);
    if (follower != null && follower.link != null) {
      follower.link.send(message);
    }
  }

  private final class NamedListener implements FrameLink.Listener {
    private final String name;

    NamedListener(String name) {
      this.name = name;
    }

    @Override
    public void received(FrameLink link, HostMessage message) {
      Follower follower = followers.get(name);
      if (receiving && follower != null && follower.link == link) {
        follower.lastReceivedAt = EventLoop.now();
        onMessage.accept(name, message);
      }
    }

    @Override
    public void closed(FrameLink link) {
      Follower follower = followers.get(name);
      if (follower != null && follower.link == link) {
        follower.link = null;
      }
    }
  }

  /** Ignores what the hosts send from now on; what was sent to them may still arrive. */
  void stopReceiving() {
    receiving = false;
  }

  @Override
  public void close() {
    closed = true;
    receiving = false;
    for (Follower follower : followers.values()) {
      if (follower.link != null) {
        follower.link.close();
      }
    }
  }
}
