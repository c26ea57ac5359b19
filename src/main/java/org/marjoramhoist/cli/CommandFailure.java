package org.marjoramhoist.cli;

/**
 * Tells that a command can't be done, in words for people.
 *
 * <p>Immutable.
 */
final class CommandFailure extends Exception {

  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  CommandFailure(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  ExitCode exitCode() {
    return exitCode;
  }
}
