package io.saltflow.model;

import java.util.List;

/** A machine type that the cloud offers. */
public record MachineType(
    String name,
    Resources size,
    double fetchGbPerS,
    double price,
    double spotPrice,
    TimeSpan boot,
    List<String> zones) {
  /** Returns the hourly price, on demand or as a spot instance. */
  public double hourly(boolean spot) {
    return spot ? spotPrice : price;
  }
}
