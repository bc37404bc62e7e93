package io.saltflow.cli;

/** Exit codes of the commands, as listed by {@code --help}. */
final class ExitCodes {
  static final int OK = 0;

  /** The controller rejected the request permanently. */
  static final int REFUSED = 1;

  /** The controller cannot listen on its address. */
  static final int CANNOT_SERVE = 1;

  /** The command line or a settings file is invalid. */
  static final int USAGE = 2;

  /** No controller answered in time. */
  static final int NO_ANSWER = 3;

  /** The job, service or queue does not exist. */
  static final int UNKNOWN = 4;

  /** The watched job was cancelled. */
  static final int CANCELLED = 5;

  /** The watched rollout ended without its version serving. */
  static final int ROLLED_BACK = 5;

  private ExitCodes() {}

  /** Returns the exit code for an answer other than 200 to an operator's request. */
  static int ofFailure(ControllerClient.Answer answer) {
    return switch (answer.status()) {
      case 404 -> UNKNOWN;
      case 400, 409, 422 -> REFUSED;
      default -> NO_ANSWER;
    };
  }
}
