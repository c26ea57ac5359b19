package org.marjoramhoist.cli;

/** The exit codes of the command line, as {@code docs/CLI.md} lists them. */
public enum ExitCode {
  /** Done. */
  OK(0),
  /** The request was answered with an error. */
  FAILED(1),
  /** The command line or a file is wrong; nothing was changed. */
  BAD_INPUT(2),
  /** The host can't be reached. */
  UNREACHABLE(3),
  /** Somebody else changed the resource meanwhile; nothing was changed. */
  CONFLICT(4),
  /** A bound was not met. */
  BOUND_MISSED(5);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the number. */
  public int code() {
    return code;
  }
}
