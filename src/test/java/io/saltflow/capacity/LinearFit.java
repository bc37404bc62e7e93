package io.saltflow.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Fits a least-squares line to measured points and checks its parameters. */
public final class LinearFit {
  private static final int MIN_POINTS = 4;

  private final String name;
  private final List<double[]> points = new ArrayList<>();

  /** Creates a fit without points for a named quantity. */
  public LinearFit(String name) {
    this.name = name;
  }

  /** Adds a point and returns this fit. */
  public LinearFit add(double size, double measured) {
    points.add(new double[] {size, measured});
    return this;
  }

  /** Returns the slope per unit of size. */
  public double slope() {
    double meanX = mean(0);
    double meanY = mean(1);
    double covariance = 0;
    double variance = 0;
    for (double[] point : points) {
      covariance += (point[0] - meanX) * (point[1] - meanY);
      variance += (point[0] - meanX) * (point[0] - meanX);
    }
    return covariance / variance;
  }

  /** Returns the value of the line at size 0. */
  public double intercept() {
    return mean(1) - slope() * mean(0);
  }

  /** Returns the largest vertical distance of a point from the line. */
  public double largestError() {
    double largest = 0;
    for (double[] point : points) {
      largest = Math.max(largest, Math.abs(point[1] - intercept() - slope() * point[0]));
    }
    return largest;
  }

  private double mean(int coordinate) {
    return points.stream().mapToDouble(point -> point[coordinate]).average().orElse(0);
  }

  /**
   * Prints the points and the line as a table row, and fails if the line is not within the
   * tolerances.
   */
  public void check(
      double slope,
      double slopeTolerance,
      double intercept,
      double interceptTolerance,
      double maxError) {
    System.out.println(row());
    assertTrue(points.size() >= MIN_POINTS, name);
    assertEquals(slope, slope(), slopeTolerance, name + ": slope");
    assertEquals(intercept, intercept(), interceptTolerance, name + ": intercept");
    assertTrue(largestError() <= maxError, name + ": largest error " + largestError());
  }

  private String row() {
    StringBuilder text = new StringBuilder("| " + name + " |");
    for (double[] point : points) {
      text.append(String.format(Locale.ROOT, " %.0f: %.1f", point[0], point[1]));
    }
    return text.append(
            String.format(
                Locale.ROOT, " | %.3f | %.1f | %.1f |", slope(), intercept(), largestError()))
        .toString();
  }
}
