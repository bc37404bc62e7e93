package io.saltflow.shares;

import io.saltflow.protocol.Span;

/**
 * How a party stands, in parts of the fleet, 0 to 1.
 *
 * @param wanted what it has and asks for
 * @param even its even share: all that it wants, or as much as any other that wants more
 * @param least what it gets before priority and arrival are asked
 * @param jobs how many of its jobs have waited for longer than the rules say
 * @param longest how long its oldest job with tasks to start has waited
 */
public record Standing(double wanted, double even, double least, int jobs, Span longest) {
  /** Whether its least part is kept for it: somebody of it has waited for long. */
  public boolean waits() {
    return jobs > 0;
  }
}
