package io.saltflow.standin;

import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;

/**
 * How a stand-in replica behaves, as its version's parameter {@code behaves} says.
 *
 * @param diesAfter fails so long after it began to run; null: it does not
 * @param answersAfter how long it takes to answer a probe
 * @param turns it is well and ill by turns of this length; null: it is well
 * @param illIn the zone in which it is ill; empty: none, {@code *}: all
 */
public record Behaviour(Span diesAfter, Span answersAfter, Span turns, String illIn) {
  private static final Span AT_ONCE = Span.millis(0);

  /** Reads {@code well}, {@code dies 29}, {@code slow 300}, {@code flaps 10}, {@code ill a}. */
  static Behaviour of(String text) {
    String[] words = text.split(" ");
    String value = words.length > 1 ? words[1] : "";
    double number = value.matches("\\d{1,6}(\\.\\d{1,3})?") ? Double.parseDouble(value) : 0;
    return switch (words[0]) {
      case "dies" -> new Behaviour(Span.seconds(number), AT_ONCE, null, "");
      case "slow" -> new Behaviour(null, Span.millis((long) number), null, "");
      case "flaps" -> new Behaviour(null, AT_ONCE, Span.seconds(Math.max(1, number)), "");
      case "ill" -> new Behaviour(null, AT_ONCE, null, value.isEmpty() ? "*" : value);
      default -> new Behaviour(null, AT_ONCE, null, "");
    };
  }

  /** Whether a probe is answered well. */
  boolean well(String zone, Time now) {
    boolean turn = turns == null || now.ms() / turns.ms() % 2 == 0;
    return turn && !illIn.equals("*") && !illIn.equals(zone);
  }
}
