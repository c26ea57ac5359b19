import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Trial: a host is stopped while clients use kept connections to it; counts requests that were cut. Arguments: seed, which (leader, follower). */
public final class Stops {

  private Stops() {}

  public static void main(String[] args) throws Exception {
    Random random = new Random(Long.parseLong(args[0]));
    Lab lab = new Lab(3, 1);
    for (int i = 0; i < 6; i++) {
      lab.addWorker("zone-a", "a", "r-1", 16000).beat();
    }
    lab.putConfig(7, true);
    lab.startHosts();
    Host target = args[1].equals("leader") ? lab.leader() : lab.follower();
    long termAt = Judge.now() + 2000;
    long end = termAt + 8000;
    Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();
    List<Thread> clients = new ArrayList<>();
    for (int c = 0; c < 40; c++) {
      Random own = new Random(random.nextLong());
      int kind = c % 4;
      clients.add(Net.thread("client", () -> run(lab, target, own, kind, end, counts)));
    }
    Net.sleep(termAt - Judge.now());
    target.terminate();
    for (Thread each : clients) {
      each.join();
    }
    lab.judge.log("" + new TreeMap<>(counts));
    System.out.println(new TreeMap<>(counts) + " exit after " + (target.process.isAlive() ? "never" : "" + target.process.exitValue()));
    lab.finish(java.nio.file.Path.of(args[2]), List.of("LOST"));
  }

  private static void run(Lab lab, Host target, Random random, int kind, long end, Map<String, AtomicInteger> counts) {
    while (Judge.now() < end) {
      try (Socket socket = new Socket()) {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", target.front), 500);
        socket.setSoTimeout(4000);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (Judge.now() < end) {
          boolean bestEffort = kind < 2;
          Judge.Job job = lab.newJob(List.of(new Judge.Step(2, 1000, 50 + random.nextInt(600), 0, List.of(), "", 0)), bestEffort);
          byte[] body = job.body().getBytes(StandardCharsets.UTF_8);
          String head = "POST /jobs/" + job.id + " HTTP/1.1\r\nHost: queue.example\r\nX-Marjoramhoist-Deadline-Ms: 1500\r\nContent-Length: " + body.length + "\r\n\r\n";
          ByteArrayOutputStream all = new ByteArrayOutputStream();
          all.write(head.getBytes(StandardCharsets.US_ASCII));
          if (kind == 1) {
            socket.getOutputStream().write(all.toByteArray());
            Net.sleep(random.nextInt(300));
            all.reset();
          }
          all.write(body);
          job.posts++;
          socket.getOutputStream().write(all.toByteArray());
          long sentAt = Judge.now();
          String status;
          try {
            status = answer(in);
          } catch (IOException e) {
            status = "cut";
          }
          long took = Judge.now() - sentAt;
          if (status.equals("cut") || status.equals("none")) {
            count(counts, status + (took > 200 ? " late" : " at once"));
            if (took > 200) {
              lab.judge.breaks("LOST", "the request for " + job.id + " was cut " + took + " ms after its last byte, kind " + kind);
            }
            break;
          }
          if (status.equals("503")) {
            job.rejected++;
          }
          count(counts, status);
          if (random.nextInt(3) == 0) {
            Net.sleep(random.nextInt(200));
          }
          if (closes) {
            // An answer with Connection: close ends the loop at the next read.
          }
        }
      } catch (IOException e) {
        count(counts, "no connection");
        Net.sleep(100);
      }
    }
  }

  private static final boolean closes = false;

  private static void count(Map<String, AtomicInteger> counts, String what) {
    counts.computeIfAbsent(what, k -> new AtomicInteger()).incrementAndGet();
  }

  private static String answer(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int next;
    while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
      next = in.read();
      if (next < 0) {
        return "none";
      }
      head.write(next);
    }
    String text = head.toString(StandardCharsets.US_ASCII).toLowerCase();
    int at = text.indexOf("content-length:");
    int length = at < 0 ? 0 : Integer.parseInt(text.substring(at + 15, text.indexOf("\r", at)).trim());
    if (in.readNBytes(length).length < length) {
      return "cut";
    }
    return text.split(" ")[1];
  }
}
