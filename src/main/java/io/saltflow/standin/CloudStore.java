package io.saltflow.standin;

import io.saltflow.protocol.Budget;
import io.saltflow.protocol.CloudCodec;
import io.saltflow.protocol.MachineId;
import io.saltflow.protocol.MachineType;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A cloud with a fixed number of machines: types, rentals whose names never repeat an effect,
 * deletion, and a list that lags. It is told the time; {@link CloudFront} starts the machines.
 */
public final class CloudStore {
  public static final int MOST_AT_ONCE = 50;

  /** A machine that was rented; gone NEVER while it is there. */
  public record Rented(
      MachineId id, MachineType type, String zone, boolean spot, Time asked, Time up, Time gone) {
    Rented goneAt(Time at) {
      return new Rented(id, type, zone, spot, asked, up, at);
    }
  }

  private final List<MachineType> types;
  private final int capacity;
  private final Span listLag;
  private final Budget requests;
  private final String prefix;
  private final Map<String, List<MachineId>> hires = new HashMap<>();
  private final TreeMap<String, Rented> machines = new TreeMap<>();
  private int last;
  private int present;

  /**
   * @param prefix what machines' names begin with; another one for each process, or a machine of
   *     this one would be taken for one of the last
   */
  public CloudStore(
      List<MachineType> types, int capacity, double rps, Span listLag, String prefix, Time now) {
    this.types = types;
    this.capacity = capacity;
    this.listLag = listLag;
    this.prefix = prefix;
    // Bursts worth two seconds are allowed.
    requests = new Budget(rps, 2 * rps, now);
  }

  boolean withinRate(Time now) {
    return requests.take(1, now);
  }

  List<MachineType> types() {
    return types;
  }

  MachineType type(String name) {
    for (MachineType t : types) {
      if (t.name().equals(name)) {
        return t;
      }
    }
    return null;
  }

  /** The machines of that request, rented now unless it was answered before; empty: no capacity. */
  List<MachineId> hire(
      String name, MachineType type, String zone, boolean spot, int count, Time now) {
    List<MachineId> before = hires.get(name);
    if (before != null) {
      return before;
    }
    List<MachineId> out = new ArrayList<>();
    for (int i = 0; i < count && present < capacity; i++) {
      MachineId id = new MachineId(String.format("%s%06d", prefix, ++last));
      Time up = now.plus(type.boot());
      machines.put(id.text(), new Rented(id, type, zone, spot, now, up, Time.NEVER));
      present++;
      out.add(id);
    }
    if (!out.isEmpty()) {
      hires.put(name, out);
    }
    return out;
  }

  Rented machine(MachineId id) {
    return machines.get(id.text());
  }

  /** Names that are not known are ignored. */
  void delete(Collection<MachineId> ids, Time now) {
    for (MachineId id : ids) {
      Rented m = machines.get(id.text());
      if (m != null && m.gone == Time.NEVER) {
        machines.put(id.text(), m.goneAt(now));
        present--;
      }
    }
  }

  /** A page as the list stood a while ago. */
  List<CloudCodec.Listed> list(String after, int page, Time now) {
    Time as = new Time(now.ms() - listLag.ms());
    machines.values().removeIf(m -> m.gone.before(as));
    List<CloudCodec.Listed> out = new ArrayList<>();
    for (Rented m : machines.tailMap(after, false).values()) {
      if (out.size() == page) {
        break;
      }
      if (!m.asked.after(as)) {
        boolean booting = as.before(m.up);
        out.add(
            new CloudCodec.Listed(
                m.id, "", m.type.name(), m.zone, m.spot, booting, false, as.since(m.asked)));
      }
    }
    return out;
  }
}
