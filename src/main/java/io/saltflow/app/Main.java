package io.saltflow.app;

import io.saltflow.cli.SaltflowCommand;

/** Entry point of the jar. */
public final class Main {
  private Main() {}

  /** Runs the command given by the arguments and exits with its exit code. */
  public static void main(String[] args) {
    System.exit(SaltflowCommand.run(args, System.out, System.err));
  }
}
