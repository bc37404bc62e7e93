package io.saltflow.app;

/** Placeholder replaced below. */
final class Rehearsal {
  private Rehearsal() {}

  public static void main(String[] args) {
    Main.run(new String[] {"--version"}, System.out, System.err);
  }
}
