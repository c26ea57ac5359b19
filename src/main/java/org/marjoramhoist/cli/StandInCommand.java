package org.marjoramhoist.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.marjoramhoist.standin.StoreStandIn;
import org.marjoramhoist.standin.WorkerFaults;
import org.marjoramhoist.standin.WorkerStandIn;

/** Runs a stand-in of the platform's store or of a worker. */
final class StandInCommand implements Command {

  @Override
  public String name() {
    return "standin";
  }

  @Override
  public String summary() {
    return "Run a stand-in of the platform's store or of a worker, for trials.";
  }

  @Override
  public String example() {
    return "marjoramhoist standin worker --name w1 --listen 127.0.0.1:9001 --slots 8";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("what").choices("store", "worker").help("what to stand in for");
    parser.addArgument("--listen").setDefault("127.0.0.1:0").help("address (default: any port)");
    parser.addArgument("--name").setDefault("worker").help("name of the worker");
    parser.addArgument("--slots").type(Integer.class).setDefault(8).help("slots of the worker");
    parser
        .addArgument("--slowness")
        .type(Double.class)
        .setDefault(1.0)
        .help("how much longer than its size a task takes");
  }

  @Override
  public ExitCode run(Namespace arguments) throws InterruptedException {
    String address = arguments.getString("listen");
    if (arguments.getString("what").equals("store")) {
      try (StoreStandIn store = new StoreStandIn(address)) {
        System.out.println("store on " + store.address());
        Thread.sleep(Long.MAX_VALUE);
      }
    } else {
      String name = arguments.getString("name");
      try (WorkerStandIn worker = new WorkerStandIn(name, address, arguments.getInt("slots"))) {
        worker.setFaults(WorkerFaults.slow(arguments.getDouble("slowness")));
        System.out.println("worker " + name + " on " + worker.address());
        Thread.sleep(Long.MAX_VALUE);
      }
    }
    return ExitCode.OK;
  }
}
