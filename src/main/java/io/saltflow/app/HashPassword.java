package io.saltflow.app;

import at.favre.lib.crypto.bcrypt.BCrypt;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** {@code hash-password}: reads a password from standard input, so that no shell remembers it. */
final class HashPassword {
  /**
   * Two to this many rounds: some ten milliseconds of a whole core. A leader checks passwords on
   * the thread that keeps its lease.
   */
  private static final int COST = 8;

  private static final int MOST_BYTES = 72;

  private HashPassword() {}

  static int run(InputStream in, PrintStream out, PrintStream err) {
    String line;
    try {
      line = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8)).readLine();
    } catch (IOException e) {
      line = null;
    }
    if (line == null || line.isEmpty()) {
      err.println("saltflow: no password on standard input");
      return 2;
    }
    if (line.getBytes(StandardCharsets.UTF_8).length > MOST_BYTES) {
      err.println("saltflow: bcrypt takes " + MOST_BYTES + " bytes at the most");
      return 2;
    }
    out.println(BCrypt.withDefaults().hashToString(COST, line.toCharArray()));
    return 0;
  }
}
