package io.saltflow.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A least-squares line through measured points, and how far the worst point lies off it. */
public final class LinearFit {
  private static final int LEAST_POINTS = 4;

  private final String name;
  private final List<double[]> points = new ArrayList<>();

  /** A quantity that is measured at several sizes. */
  public LinearFit(String name) {
    this.name = name;
  }

  /** Adds what was measured at one size. */
  public LinearFit add(double size, double measured) {
    points.add(new double[] {size, measured});
    return this;
  }

  /** The increase for one unit of size. */
  public double slope() {
    double meanX = mean(0);
    double meanY = mean(1);
    double covariance = 0;
    double variance = 0;
    for (double[] p : points) {
      covariance += (p[0] - meanX) * (p[1] - meanY);
      variance += (p[0] - meanX) * (p[0] - meanX);
    }
    return covariance / variance;
  }

  /** The value of the line at size 0. */
  public double intercept() {
    return mean(1) - slope() * mean(0);
  }

  /** The largest distance of a point from the line. */
  public double largestError() {
    double worst = 0;
    for (double[] p : points) {
      worst = Math.max(worst, Math.abs(p[1] - intercept() - slope() * p[0]));
    }
    return worst;
  }

  private double mean(int coordinate) {
    return points.stream().mapToDouble(p -> p[coordinate]).average().orElse(0);
  }

  /**
   * Prints the points and the line as a row of a table, and fails if the line is not the expected
   * one.
   */
  public void check(
      double slope,
      double slopeWithin,
      double intercept,
      double interceptWithin,
      double mostError) {
    System.out.println(row());
    assertTrue(points.size() >= LEAST_POINTS, name);
    assertEquals(slope, slope(), slopeWithin, name + ": slope");
    assertEquals(intercept, intercept(), interceptWithin, name + ": intercept");
    assertTrue(largestError() <= mostError, name + ": largest error " + largestError());
  }

  private String row() {
    StringBuilder text = new StringBuilder("| " + name + " |");
    for (double[] p : points) {
      text.append(String.format(Locale.ROOT, " %.0f: %.1f", p[0], p[1]));
    }
    return text.append(
            String.format(
                Locale.ROOT, " | %.3f | %.1f | %.1f |", slope(), intercept(), largestError()))
        .toString();
  }
}
