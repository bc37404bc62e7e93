package io.saltflow.healthgates;

import io.saltflow.healthgates.grammar.GateLexer;
import io.saltflow.healthgates.grammar.GateParser;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.List;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.tree.TerminalNode;

/**
 * A parsed and type-checked health gate of a rollout plan, for example {@code ready >= 95% for 30s
 * and failures(5m) < 2 and probe("/healthz").p99 < 200ms}.
 */
public final class Gate {
  private static final int MAX_TEXT_LENGTH = 2000;
  private static final int MAX_NESTING = 40;
  private static final TimeSpan MAX_WINDOW = TimeSpan.seconds(3600);

  private final String text;
  private final Condition condition;

  private Gate(String text, Condition condition) {
    this.text = text;
    this.condition = condition;
  }

  /**
   * Parses a gate.
   *
   * @throws GateException if the text is not a valid gate, with the column of the error
   */
  public static Gate parse(String text) throws GateException {
    if (text.length() > MAX_TEXT_LENGTH) {
      throw new GateException(
          MAX_TEXT_LENGTH + 1, "a gate is at most " + MAX_TEXT_LENGTH + " characters long");
    }
    checkNesting(text);
    FirstError errors = new FirstError();
    GateLexer lexer = new GateLexer(CharStreams.fromString(text));
    lexer.removeErrorListeners();
    lexer.addErrorListener(errors);
    GateParser parser = new GateParser(new CommonTokenStream(lexer));
    parser.removeErrorListeners();
    parser.addErrorListener(errors);
    GateParser.GateContext tree = parser.gate();
    if (errors.first != null) {
      throw errors.first;
    }
    Builder builder = new Builder();
    Condition condition = builder.either(tree.either());
    return new Gate(text, condition);
  }

  /** Bounds the recursion of the parser. Negations nest as brackets do. */
  private static void checkNesting(String text) throws GateException {
    int depth = 0;
    for (int i = 0; i < text.length(); i++) {
      depth += text.charAt(i) == '(' || text.startsWith("not", i) ? 1 : 0;
      depth -= text.charAt(i) == ')' ? 1 : 0;
      if (depth > MAX_NESTING) {
        throw new GateException(i + 1, "nested too deeply");
      }
    }
  }

  Condition condition() {
    return condition;
  }

  /** Returns why the gate can never pass within this time, or {@code null} if it may. */
  public String unsatisfiableReason(TimeSpan limit) {
    return SatisfiabilityCheck.fault(this, limit);
  }

  /** Returns the quantities that the gate compares. */
  public List<Quantity> quantities() {
    List<Quantity> out = new ArrayList<>();
    collect(condition, out);
    return out;
  }

  private static void collect(Condition condition, List<Quantity> out) {
    if (condition instanceof Condition.All all) {
      all.parts().forEach(p -> collect(p, out));
    } else if (condition instanceof Condition.Any any) {
      any.parts().forEach(p -> collect(p, out));
    } else if (condition instanceof Condition.Not not) {
      collect(not.part(), out);
    } else if (condition instanceof Condition.Held held) {
      collect(held.part(), out);
    } else if (condition instanceof Condition.Compare compare) {
      out.add(compare.quantity());
    }
  }

  @Override
  public String toString() {
    return text;
  }

  private static final class FirstError extends BaseErrorListener {
    private GateException first;

    @Override
    public void syntaxError(
        Recognizer<?, ?> recognizer,
        Object symbol,
        int line,
        int column,
        String message,
        RecognitionException recognitionException) {
      if (first == null) {
        first = new GateException(column + 1, message);
      }
    }
  }

  /** Builds the condition from the parse tree. */
  private static final class Builder {
    private int nextHeldId;

    Condition either(GateParser.EitherContext eitherContext) throws GateException {
      List<Condition> parts = new ArrayList<>();
      for (GateParser.BothContext bothContext : eitherContext.both()) {
        parts.add(both(bothContext));
      }
      return parts.size() == 1 ? parts.get(0) : new Condition.Any(parts);
    }

    private Condition both(GateParser.BothContext bothContext) throws GateException {
      List<Condition> parts = new ArrayList<>();
      for (GateParser.NegationContext negationContext : bothContext.negation()) {
        parts.add(negation(negationContext));
      }
      return parts.size() == 1 ? parts.get(0) : new Condition.All(parts);
    }

    private Condition negation(GateParser.NegationContext negationContext) throws GateException {
      return negationContext.NOT() == null
          ? held(negationContext.held())
          : new Condition.Not(negation(negationContext.negation()));
    }

    private Condition held(GateParser.HeldContext heldContext) throws GateException {
      Condition part =
          heldContext.comparison() == null
              ? either(heldContext.either())
              : comparison(heldContext.comparison());
      // Comparisons without a duration are held as well, since they may lack data for too long.
      if (heldContext.comparison() == null
          && heldContext.steady() == null
          && heldContext.recovery() == null
          && heldContext.nodata() == null) {
        return part;
      }
      return new Condition.Held(
          nextHeldId++,
          part,
          heldContext.steady() == null ? TimeSpan.millis(0) : span(heldContext.steady().DURATION()),
          heldContext.recovery() == null ? null : span(heldContext.recovery().DURATION()),
          heldContext.nodata() == null ? null : span(heldContext.nodata().DURATION()));
    }

    private static TimeSpan span(TerminalNode duration) throws GateException {
      TimeSpan span = Units.parseDuration(duration.getText());
      if (span.longerThan(MAX_WINDOW)) {
        throw new GateException(column(duration.getSymbol()), "an hour is the most that is kept");
      }
      return span;
    }

    private static int column(Token token) {
      return token.getCharPositionInLine() + 1;
    }

    private Condition comparison(GateParser.ComparisonContext comparisonContext)
        throws GateException {
      Quantity quantity = quantity(comparisonContext.quantity());
      return new Condition.Compare(
          quantity,
          Condition.Operator.of(comparisonContext.COMPARE().getText()),
          limit(quantity, comparisonContext.literal()));
    }

    private static double limit(Quantity quantity, GateParser.LiteralContext literalContext)
        throws GateException {
      TerminalNode literal =
          switch (quantity.unit()) {
            case SHARE -> literalContext.PERCENT();
            case COUNT -> literalContext.NUMBER();
            case TIME -> literalContext.DURATION();
          };
      if (literal == null) {
        throw new GateException(
            column(literalContext.getStart()), quantity + " is " + quantity.unit().description());
      }
      return switch (quantity.unit()) {
        case SHARE -> Double.parseDouble(literal.getText().replace("%", "")) / 100;
        case COUNT -> Double.parseDouble(literal.getText());
        case TIME -> Units.parseDuration(literal.getText()).ms();
      };
    }

    private static Quantity quantity(GateParser.QuantityContext quantityContext)
        throws GateException {
      Token name = quantityContext.NAME(0).getSymbol();
      Measure measure = Measure.of(name.getText());
      if (measure == null) {
        throw new GateException(
            column(name), "nothing called '" + name.getText() + "' is observed");
      }
      if (quantityContext.argument().size() != measure.arguments().size()) {
        throw new GateException(
            column(name), measure.text() + " takes " + measure.arguments().size() + " arguments");
      }
      String text = "";
      TimeSpan window = null;
      for (int i = 0; i < quantityContext.argument().size(); i++) {
        GateParser.ArgumentContext argumentContext = quantityContext.argument(i);
        boolean wantsText = measure.arguments().get(i) == Measure.Argument.TEXT;
        if (wantsText != (argumentContext.STRING() != null)) {
          throw new GateException(
              column(argumentContext.getStart()),
              wantsText ? "a text in quotes is required" : "a time such as 5m is required");
        }
        if (wantsText) {
          text = argumentContext.getText().substring(1, argumentContext.getText().length() - 1);
        } else {
          window = span(argumentContext.DURATION());
        }
      }
      return new Quantity(measure, text, window, field(measure, quantityContext, name));
    }

    private static String field(
        Measure measure, GateParser.QuantityContext quantityContext, Token name)
        throws GateException {
      String field = quantityContext.NAME().size() > 1 ? quantityContext.NAME(1).getText() : "";
      if (!measure.fields().contains(field) && !(field.isEmpty() && measure.fields().isEmpty())) {
        Token at = quantityContext.NAME().size() > 1 ? quantityContext.NAME(1).getSymbol() : name;
        throw new GateException(
            column(at),
            measure.fields().isEmpty()
                ? measure.text() + " has no '" + field + "'"
                : "one of " + String.join(", ", measure.fields()) + " is required");
      }
      return field;
    }
  }
}
