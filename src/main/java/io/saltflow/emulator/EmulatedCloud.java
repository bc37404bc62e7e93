package io.saltflow.emulator;

import io.saltflow.model.MachineId;
import io.saltflow.model.MachineType;
import io.saltflow.model.MonotonicTime;
import io.saltflow.model.RateLimiter;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.CloudCodec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Emulates a cloud with limited capacity, idempotent instance requests and an eventually consistent
 * machine list. The caller passes in the time, and {@link CloudServer} starts the instances.
 */
public final class EmulatedCloud {
  /** Maximum number of instances per request. */
  public static final int MAX_INSTANCES_PER_REQUEST = 50;

  /** A created machine; {@code deletedAt} is {@link MonotonicTime#NEVER} while it exists. */
  public record Instance(
      MachineId id,
      MachineType type,
      String zone,
      boolean spot,
      MonotonicTime requestedAt,
      MonotonicTime readyAt,
      MonotonicTime deletedAt) {
    Instance withDeletedAt(MonotonicTime at) {
      return new Instance(id, type, zone, spot, requestedAt, readyAt, at);
    }
  }

  private final List<MachineType> types;
  private final int capacity;
  private final TimeSpan listLag;
  private final RateLimiter rateLimiter;
  private final String namePrefix;
  private final Map<String, List<MachineId>> instancesByRequest = new HashMap<>();
  private final TreeMap<String, Instance> instances = new TreeMap<>();
  private int lastNumber;
  private int liveCount;

  /**
   * @param namePrefix the prefix of machine names, which must differ between processes so that a
   *     machine is not taken for one of an earlier process
   */
  public EmulatedCloud(
      List<MachineType> types,
      int capacity,
      double rps,
      TimeSpan listLag,
      String namePrefix,
      MonotonicTime now) {
    this.types = types;
    this.capacity = capacity;
    this.listLag = listLag;
    this.namePrefix = namePrefix;
    // The protocol allows a burst of two seconds' worth of requests.
    rateLimiter = new RateLimiter(rps, 2 * rps, now);
  }

  boolean tryAcquire(MonotonicTime now) {
    return rateLimiter.tryAcquire(1, now);
  }

  List<MachineType> types() {
    return types;
  }

  MachineType type(String name) {
    for (MachineType type : types) {
      if (type.name().equals(name)) {
        return type;
      }
    }
    return null;
  }

  /**
   * Creates the machines of a request, or returns those that an earlier request with the same name
   * created. Returns an empty list if there is no capacity.
   */
  List<MachineId> createInstances(
      String requestName,
      MachineType type,
      String zone,
      boolean spot,
      int count,
      MonotonicTime now) {
    List<MachineId> existing = instancesByRequest.get(requestName);
    if (existing != null) {
      return existing;
    }
    List<MachineId> created = new ArrayList<>();
    for (int i = 0; i < count && liveCount < capacity; i++) {
      MachineId id = new MachineId(String.format("%s%06d", namePrefix, ++lastNumber));
      MonotonicTime readyAt = now.plus(type.boot());
      instances.put(
          id.text(), new Instance(id, type, zone, spot, now, readyAt, MonotonicTime.NEVER));
      liveCount++;
      created.add(id);
    }
    if (!created.isEmpty()) {
      instancesByRequest.put(requestName, created);
    }
    return created;
  }

  Instance instance(MachineId id) {
    return instances.get(id.text());
  }

  /** Deletes machines, ignoring unknown names. */
  void delete(Collection<MachineId> ids, MonotonicTime now) {
    for (MachineId id : ids) {
      Instance instance = instances.get(id.text());
      if (instance != null && instance.deletedAt == MonotonicTime.NEVER) {
        instances.put(id.text(), instance.withDeletedAt(now));
        liveCount--;
      }
    }
  }

  /** Returns a page of the machine list as it was one list lag ago. */
  List<CloudCodec.ListedMachine> list(String after, int pageSize, MonotonicTime now) {
    MonotonicTime listedAt = new MonotonicTime(now.ms() - listLag.ms());
    instances.values().removeIf(instance -> instance.deletedAt.before(listedAt));
    List<CloudCodec.ListedMachine> listed = new ArrayList<>();
    for (Instance instance : instances.tailMap(after, false).values()) {
      if (listed.size() == pageSize) {
        break;
      }
      if (!instance.requestedAt.after(listedAt)) {
        boolean booting = listedAt.before(instance.readyAt);
        listed.add(
            new CloudCodec.ListedMachine(
                instance.id,
                "",
                instance.type.name(),
                instance.zone,
                instance.spot,
                booting,
                false,
                listedAt.since(instance.requestedAt)));
      }
    }
    return listed;
  }
}
