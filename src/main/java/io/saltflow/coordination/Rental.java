package io.saltflow.coordination;

/** A rental to ask the cloud for; whoever asks tells the leader how it was answered. */
public record Rental(Fleet.Hire hire) {
  public String name() {
    return hire.name();
  }

  public String type() {
    return hire.type().name();
  }

  public String zone() {
    return hire.zone();
  }

  public boolean spot() {
    return hire.spot();
  }

  public int count() {
    return hire.count();
  }
}
