package io.saltflow.protocol;

import io.saltflow.model.MachineId;
import io.saltflow.model.MachineType;
import io.saltflow.model.Resources;
import io.saltflow.model.TimeSpan;
import java.util.ArrayList;
import java.util.List;

/** Encodes and decodes the messages of the cloud API. */
public final class CloudCodec {
  private CloudCodec() {}

  /** A machine in the list that the cloud returns. */
  public record ListedMachine(
      MachineId id,
      String address,
      String type,
      String zone,
      boolean spot,
      boolean booting,
      boolean failed,
      TimeSpan age) {}

  /** Decodes the list of machine types. */
  public static List<MachineType> decodeTypes(MessageBody body) throws InvalidMessageException {
    List<MachineType> out = new ArrayList<>();
    for (MessageBody type : body.maps(Wire.MACHINE_TYPES)) {
      out.add(
          new MachineType(
              type.text(Wire.TYPE_NAME),
              new Resources(
                  type.nonNegativeNumber(Wire.CORES),
                  type.nonNegativeNumberOr(Wire.GPUS, 0),
                  type.nonNegativeNumberOr(Wire.MEMORY_GB, 0)),
              type.nonNegativeNumberOr(Wire.FETCH_GB_PER_S, 0.1),
              type.nonNegativeNumber(Wire.PRICE),
              type.nonNegativeNumberOr(Wire.SPOT_PRICE, type.nonNegativeNumber(Wire.PRICE)),
              type.seconds(Wire.BOOT_S),
              type.texts(Wire.ZONES)));
    }
    return out;
  }

  /** Encodes the list of machine types. */
  public static MessageBody encodeTypes(List<MachineType> types) {
    List<Object> list = new ArrayList<>();
    for (MachineType type : types) {
      list.add(
          MessageBody.of()
              .with(Wire.TYPE_NAME, type.name())
              .with(Wire.CORES, type.size().cores())
              .with(Wire.GPUS, type.size().gpus())
              .with(Wire.MEMORY_GB, type.size().memoryGb())
              .with(Wire.FETCH_GB_PER_S, type.fetchGbPerS())
              .with(Wire.PRICE, type.price())
              .with(Wire.SPOT_PRICE, type.spotPrice())
              .with(Wire.BOOT_S, type.boot().toSeconds())
              .with(Wire.ZONES, type.zones()));
    }
    return MessageBody.of().with(Wire.MACHINE_TYPES, list);
  }

  /** Encodes a scale-out request; its id makes a repeated request idempotent. */
  public static MessageBody encodeScaleOut(
      String requestId, String type, String zone, boolean spot, int count) {
    return MessageBody.of()
        .with(Wire.SCALE_OUT_ID, requestId)
        .with(Wire.MACHINE_TYPE, type)
        .with(Wire.ZONE, zone)
        .with(Wire.SPOT, spot)
        .with(Wire.COUNT, count);
  }

  /** Decodes a list of machine ids. */
  public static List<MachineId> decodeMachineIds(MessageBody body) throws InvalidMessageException {
    List<MachineId> out = new ArrayList<>();
    for (String host : body.texts(Wire.MACHINES)) {
      out.add(new MachineId(host));
    }
    return out;
  }

  /** Encodes a list of machine ids. */
  public static MessageBody encodeMachineIds(List<MachineId> machines) {
    return MessageBody.of().with(Wire.MACHINES, machines.stream().map(MachineId::text).toList());
  }

  /** Encodes one page of the list of machines. */
  public static MessageBody encodeList(List<ListedMachine> machines, boolean more) {
    List<Object> list = new ArrayList<>(machines.size());
    for (ListedMachine machine : machines) {
      String state = machine.booting() ? Wire.MACHINE_BOOTING : Wire.MACHINE_RUNNING;
      list.add(
          MessageBody.of()
              .with(Wire.ID, machine.id().text())
              .with(Wire.ADDRESS, machine.address())
              .with(Wire.MACHINE_TYPE, machine.type())
              .with(Wire.ZONE, machine.zone())
              .with(Wire.SPOT, machine.spot())
              .with(Wire.STATE, machine.failed() ? Wire.MACHINE_FAILED : state)
              .with(Wire.AGE_S, machine.age().toSeconds()));
    }
    return MessageBody.of().with(Wire.MACHINES, list).with(Wire.TRUNCATED, more);
  }

  /** Decodes one page of the list of machines. */
  public static List<ListedMachine> decodeList(MessageBody body) throws InvalidMessageException {
    List<ListedMachine> out = new ArrayList<>();
    for (MessageBody machine : body.maps(Wire.MACHINES)) {
      String state = machine.textOr(Wire.STATE, "");
      out.add(
          new ListedMachine(
              new MachineId(machine.text(Wire.ID)),
              machine.textOr(Wire.ADDRESS, ""),
              machine.text(Wire.MACHINE_TYPE),
              machine.text(Wire.ZONE),
              machine.flagOr(Wire.SPOT, false),
              state.equals(Wire.MACHINE_BOOTING),
              state.equals(Wire.MACHINE_FAILED),
              TimeSpan.seconds(machine.nonNegativeNumberOr(Wire.AGE_S, 0))));
    }
    return out;
  }
}
