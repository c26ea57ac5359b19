package org.marjoramhoist.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** One command of the command line. */
interface Command {

  /** Returns its name. */
  String name();

  /** Returns what it does, in a line. */
  String summary();

  /** Returns an example of its use. */
  String example();

  /** Declares its arguments. */
  void declare(Subparser parser);

  /** Tells whether it sets up logging itself, by its settings. */
  default boolean configuresLogging() {
    return false;
  }

  /**
   * Runs it.
   *
   * @throws CommandFailure if it can't be done
   * @throws Exception on a fault of the program
   */
  ExitCode run(Namespace arguments) throws Exception;
}
