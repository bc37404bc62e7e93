package io.saltflow.protocol;

import java.util.List;

/** A kind of machine that the cloud rents. */
public record MachineType(
    String name,
    Size size,
    double fetchGbPerS,
    double price,
    double spotPrice,
    Span boot,
    List<String> zones) {
  public double hourly(boolean spot) {
    return spot ? spotPrice : price;
  }
}
