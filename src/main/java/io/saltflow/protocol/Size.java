package io.saltflow.protocol;

/** An amount of cores, gpus and memory. */
public record Size(double cores, double gpus, double memoryGb) {
  public static final Size ZERO = new Size(0, 0, 0);
  private static final double SLACK = 1e-6;

  public Size plus(Size o) {
    return new Size(cores + o.cores, gpus + o.gpus, memoryGb + o.memoryGb);
  }

  public Size minus(Size o) {
    return new Size(cores - o.cores, gpus - o.gpus, memoryGb - o.memoryGb);
  }

  public Size times(double n) {
    return new Size(cores * n, gpus * n, memoryGb * n);
  }

  public boolean fitsIn(Size room) {
    return cores <= room.cores + SLACK
        && gpus <= room.gpus + SLACK
        && memoryGb <= room.memoryGb + SLACK;
  }

  /** The lesser of each amount. */
  public Size least(Size o) {
    return new Size(
        Math.min(cores, o.cores), Math.min(gpus, o.gpus), Math.min(memoryGb, o.memoryGb));
  }

  /** How many of this size fit in a room. */
  public int countIn(Size room) {
    double n = Integer.MAX_VALUE;
    if (cores > 0) {
      n = Math.min(n, Math.floor((room.cores + SLACK) / cores));
    }
    if (gpus > 0) {
      n = Math.min(n, Math.floor((room.gpus + SLACK) / gpus));
    }
    if (memoryGb > 0) {
      n = Math.min(n, Math.floor((room.memoryGb + SLACK) / memoryGb));
    }
    return (int) Math.max(0, n);
  }
}
