package io.saltflow.model;

/** An amount of CPU cores, GPUs and memory. */
public record Resources(double cores, double gpus, double memoryGb) {
  public static final Resources ZERO = new Resources(0, 0, 0);
  private static final double ROUNDING_TOLERANCE = 1e-6;

  /** Returns the sum of each amount. */
  public Resources plus(Resources other) {
    return new Resources(cores + other.cores, gpus + other.gpus, memoryGb + other.memoryGb);
  }

  /** Returns the difference of each amount, which may be negative. */
  public Resources minus(Resources other) {
    return new Resources(cores - other.cores, gpus - other.gpus, memoryGb - other.memoryGb);
  }

  /** Returns each amount multiplied by a factor. */
  public Resources times(double factor) {
    return new Resources(cores * factor, gpus * factor, memoryGb * factor);
  }

  /** Returns whether no amount exceeds the available one, up to rounding. */
  public boolean fitsIn(Resources available) {
    return cores <= available.cores + ROUNDING_TOLERANCE
        && gpus <= available.gpus + ROUNDING_TOLERANCE
        && memoryGb <= available.memoryGb + ROUNDING_TOLERANCE;
  }

  /** Returns the minimum of each amount. */
  public Resources min(Resources other) {
    return new Resources(
        Math.min(cores, other.cores),
        Math.min(gpus, other.gpus),
        Math.min(memoryGb, other.memoryGb));
  }

  /** Returns how many times these resources fit into the available ones. */
  public int countFittingIn(Resources available) {
    double count = Integer.MAX_VALUE;
    if (cores > 0) {
      count = Math.min(count, Math.floor((available.cores + ROUNDING_TOLERANCE) / cores));
    }
    if (gpus > 0) {
      count = Math.min(count, Math.floor((available.gpus + ROUNDING_TOLERANCE) / gpus));
    }
    if (memoryGb > 0) {
      count = Math.min(count, Math.floor((available.memoryGb + ROUNDING_TOLERANCE) / memoryGb));
    }
    return (int) Math.max(0, count);
  }
}
