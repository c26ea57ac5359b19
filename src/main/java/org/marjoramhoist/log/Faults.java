package org.marjoramhoist.log;

/**
 * Handles failures of the program: none goes unnoticed, and none stops what others need.
 *
 * <p>Exceptions and errors are logged, and the caller goes on with its next task. The process ends
 * if the virtual machine itself has failed, as after a lack of memory, since any thread may then
 * have lost what it was about to do; a new process reads everything from the store. A stack that
 * was too small concerns only the task that used it up. Stateless and safe for use by several
 * threads.
 */
public final class Faults {

  /** The exit code of a process whose virtual machine failed, as when Java lacks memory. */
  static final int EXIT_CODE = 3;

  private Faults() {}

  /** Runs a task; a failure is logged. */
  public static void contain(String what, Runnable task) {
    try {
      task.run();
    } catch (Throwable e) {
      report(what, e);
    }
  }

  /** Logs a failure, and ends the process if the virtual machine itself failed. */
  public static void report(String what, Throwable error) {
    if (isFatal(error)) {
      try {
        System.err.println(what + " " + error);
      } finally {
        Runtime.getRuntime().halt(EXIT_CODE);
      }
    }
    EventLog.fault(what, error);
  }

  private static boolean isFatal(Throwable error) {
    return error instanceof VirtualMachineError && !(error instanceof StackOverflowError);
  }
}
