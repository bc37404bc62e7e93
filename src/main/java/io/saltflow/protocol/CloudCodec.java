package io.saltflow.protocol;

import java.util.ArrayList;
import java.util.List;

/** The cloud's messages, to and from their wire form. */
public final class CloudCodec {
  private CloudCodec() {}

  /** A machine as the cloud lists it. */
  public record Listed(
      MachineId id,
      String address,
      String type,
      String zone,
      boolean spot,
      boolean booting,
      boolean failed,
      Span age) {}

  public static List<MachineType> decodeTypes(Body b) throws BadMessage {
    List<MachineType> out = new ArrayList<>();
    for (Body t : b.maps(Wire.TYPES)) {
      out.add(
          new MachineType(
              t.text(Wire.TYPE_NAME),
              new Size(
                  t.amount(Wire.CORES), t.amountOr(Wire.GPUS, 0), t.amountOr(Wire.MEMORY_GB, 0)),
              t.amountOr(Wire.FETCH_GB_PER_S, 0.1),
              t.amount(Wire.PRICE),
              t.amountOr(Wire.SPOT_PRICE, t.amount(Wire.PRICE)),
              t.seconds(Wire.BOOT_S),
              t.texts(Wire.ZONES)));
    }
    return out;
  }

  public static Body encodeTypes(List<MachineType> types) {
    List<Object> list = new ArrayList<>();
    for (MachineType t : types) {
      list.add(
          Body.of()
              .with(Wire.TYPE_NAME, t.name())
              .with(Wire.CORES, t.size().cores())
              .with(Wire.GPUS, t.size().gpus())
              .with(Wire.MEMORY_GB, t.size().memoryGb())
              .with(Wire.FETCH_GB_PER_S, t.fetchGbPerS())
              .with(Wire.PRICE, t.price())
              .with(Wire.SPOT_PRICE, t.spotPrice())
              .with(Wire.BOOT_S, t.boot().toSeconds())
              .with(Wire.ZONES, t.zones()));
    }
    return Body.of().with(Wire.TYPES, list);
  }

  public static Body encodeHire(String hire, String type, String zone, boolean spot, int count) {
    return Body.of()
        .with(Wire.HIRE, hire)
        .with(Wire.TYPE, type)
        .with(Wire.ZONE, zone)
        .with(Wire.SPOT, spot)
        .with(Wire.COUNT, count);
  }

  public static List<MachineId> decodeHosts(Body b) throws BadMessage {
    List<MachineId> out = new ArrayList<>();
    for (String host : b.texts(Wire.MACHINES)) {
      out.add(new MachineId(host));
    }
    return out;
  }

  public static Body encodeHosts(List<MachineId> hosts) {
    return Body.of().with(Wire.MACHINES, hosts.stream().map(MachineId::text).toList());
  }

  /** One page of the list. */
  public static Body encodeList(List<Listed> machines, boolean more) {
    List<Object> list = new ArrayList<>(machines.size());
    for (Listed l : machines) {
      String state = l.booting() ? Wire.MACHINE_BOOTING : Wire.MACHINE_RUNNING;
      list.add(
          Body.of()
              .with(Wire.ID, l.id().text())
              .with(Wire.ADDR, l.address())
              .with(Wire.TYPE, l.type())
              .with(Wire.ZONE, l.zone())
              .with(Wire.SPOT, l.spot())
              .with(Wire.STATE, l.failed() ? Wire.MACHINE_FAILED : state)
              .with(Wire.AGE_S, l.age().toSeconds()));
    }
    return Body.of().with(Wire.MACHINES, list).with(Wire.MORE, more);
  }

  public static List<Listed> decodeList(Body b) throws BadMessage {
    List<Listed> out = new ArrayList<>();
    for (Body m : b.maps(Wire.MACHINES)) {
      String state = m.textOr(Wire.STATE, "");
      out.add(
          new Listed(
              new MachineId(m.text(Wire.ID)),
              m.textOr(Wire.ADDR, ""),
              m.text(Wire.TYPE),
              m.text(Wire.ZONE),
              m.flagOr(Wire.SPOT, false),
              state.equals(Wire.MACHINE_BOOTING),
              state.equals(Wire.MACHINE_FAILED),
              Span.seconds(m.amountOr(Wire.AGE_S, 0))));
    }
    return out;
  }
}
