import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The links between failure domains: a proxy before each server, which knows the failure domains of
 * both ends. While a domain is cut off, connections into and out of it are reset, at once and when
 * they are opened. Thread-safe.
 *
 * <p>All processes share one address, so a proxy finds the process at the other end of a connection
 * by its port, among the processes that were registered here. Others, such as clients, are never
 * cut off, nor are servers that are not exposed here.
 */
final class Network implements AutoCloseable {

  private record Link(String from, String to, Socket near, Socket far) {}

  private final Map<Long, String> zones = new ConcurrentHashMap<>();
  private final List<Link> links = new CopyOnWriteArrayList<>();
  private final List<ServerSocket> listeners = new ArrayList<>();
  private volatile String cutZone;

  /** Registers the failure domain of a process. */
  void register(Process process, String zone) {
    zones.put(process.pid(), zone);
  }

  /** Returns the port at which a server of a failure domain is reached through this network. */
  synchronized int expose(int target, String zone) throws IOException {
    ServerSocket listener =
        new ServerSocket(Lab.freePort(), 128, InetAddress.getByName("127.0.0.1"));
    listeners.add(listener);
    start(() -> accept(listener, target, zone));
    return listener.getLocalPort();
  }

  /** Cuts a failure domain off from all others, or heals the cut if it is null. */
  void cut(String zone) {
    cutZone = zone;
    for (Link link : links) {
      if (isCut(link.from(), link.to())) {
        reset(link.near());
        reset(link.far());
        links.remove(link);
      }
    }
  }

  private boolean isCut(String from, String to) {
    String zone = cutZone;
    return zone != null && from != null && zone.equals(from) != zone.equals(to);
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept(ServerSocket listener, int target, String zone) {
    while (!listener.isClosed()) {
      try {
        Socket near = listener.accept();
        start(() -> forward(near, target, zone));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void forward(Socket near, int target, String zone) {
    try {
      String from = zoneOfPeer(near);
      if (isCut(from, zone)) {
        reset(near);
        return;
      }
      Socket far = new Socket("127.0.0.1", target);
      near.setTcpNoDelay(true);
      far.setTcpNoDelay(true);
      Link link = new Link(from, zone, near, far);
      links.add(link);
      if (isCut(from, zone)) {
        reset(near);
        reset(far);
        return;
      }
      start(() -> copy(near, far));
      copy(far, near);
      links.remove(link);
    } catch (IOException e) {
      reset(near);
    }
  }

  private static void copy(Socket from, Socket to) {
    byte[] buffer = new byte[16_384];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        out.write(buffer, 0, count);
      }
      to.shutdownOutput();
    } catch (IOException e) {
      reset(from);
      reset(to);
    }
  }

  private static void reset(Socket socket) {
    try {
      if (!socket.isClosed()) {
        socket.setSoLinger(true, 0);
        socket.close();
      }
    } catch (IOException e) {
      // It is closed already.
      return;
    }
  }

  /** Returns the failure domain of the process at the other end; null if it is not registered. */
  private String zoneOfPeer(Socket socket) throws IOException {
    String inode = inodeOf(socket.getPort(), socket.getLocalPort());
    if (inode == null) {
      return null;
    }
    String link = "socket:[" + inode + "]";
    for (Map.Entry<Long, String> each : zones.entrySet()) {
      if (owns(each.getKey(), link)) {
        return each.getValue();
      }
    }
    return null;
  }

  private static String inodeOf(int localPort, int remotePort) throws IOException {
    for (String file : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
      for (String line : Files.readAllLines(Path.of(file))) {
        String[] words = line.trim().split("\\s+");
        if (words.length > 9 && port(words[1]) == localPort && port(words[2]) == remotePort) {
          return words[9];
        }
      }
    }
    return null;
  }

  private static int port(String address) {
    int split = address.indexOf(':');
    return split < 0 || address.length() < split + 5
        ? -1
        : Integer.parseInt(address.substring(split + 1), 16);
  }

  private static boolean owns(long pid, String link) {
    try (DirectoryStream<Path> files = Files.newDirectoryStream(Path.of("/proc/" + pid + "/fd"))) {
      for (Path file : files) {
        if (Files.isSymbolicLink(file) && Files.readSymbolicLink(file).toString().equals(link)) {
          return true;
        }
      }
    } catch (IOException e) {
      // The process or the descriptor is gone.
      return false;
    }
    return false;
  }

  @Override
  public void close() throws IOException {
    for (ServerSocket listener : listeners) {
      listener.close();
    }
  }
}
