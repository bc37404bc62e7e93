package io.saltflow.cli;

import at.favre.lib.crypto.bcrypt.BCrypt;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/**
 * {@code hash-password}: hashes a password from standard input, keeping it out of shell history.
 */
public final class HashPasswordCommand {
  /**
   * Binary logarithm of the bcrypt rounds. It is low because a leader verifies passwords on the
   * thread that renews its lease.
   */
  private static final int BCRYPT_COST = 8;

  private static final int MAX_PASSWORD_BYTES = 72;

  private HashPasswordCommand() {}

  /** Prints the bcrypt hash of the first input line and returns the exit code. */
  public static int run(InputStream in, PrintStream out, PrintStream err) {
    String line;
    try {
      line = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8)).readLine();
    } catch (IOException exception) {
      line = null;
    }
    if (line == null || line.isEmpty()) {
      err.println("saltflow: no password on standard input");
      return 2;
    }
    if (line.getBytes(StandardCharsets.UTF_8).length > MAX_PASSWORD_BYTES) {
      err.println("saltflow: password exceeds bcrypt's limit of " + MAX_PASSWORD_BYTES + " bytes");
      return 2;
    }
    out.println(BCrypt.withDefaults().hashToString(BCRYPT_COST, line.toCharArray()));
    return 0;
  }
}
