import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Trial: SIGTERM soon after the start of a host, with and without the store; tells how long the process takes to end. */
public final class EarlyStops {

  private EarlyStops() {}

  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(2, 1);
    lab.addWorker("zone-a", "a", "r-1", 16000).beat();
    lab.putConfig(7, true);
    lab.startHosts();
    Random random = new Random(Long.parseLong(args[0]));
    Host host = lab.hosts.get(1);
    for (int i = 0; i < 14; i++) {
      host.kill();
      lab.store.mode = i % 3 == 2 ? "silent" : "ok";
      host.start();
      int wait = random.nextInt(1200);
      Net.sleep(wait);
      long at = Judge.now();
      host.terminate();
      boolean ended = host.process.waitFor(8, TimeUnit.SECONDS);
      System.out.println("after " + wait + " ms, store " + lab.store.mode + ": ended " + ended + " in " + (Judge.now() - at) + " ms, exit " + (ended ? host.process.exitValue() : -1));
    }
    lab.close();
    System.exit(0);
  }
}
