package io.saltflow.controller;

import io.saltflow.cloud.CloudClient;
import io.saltflow.model.MachineType;
import io.saltflow.model.TimeSpan;
import io.saltflow.records.LeaderRepository;
import io.saltflow.store.KeyValueClient;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.Routine;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Machine types against which this node validates submissions. Empty until the first types are
 * read. Not thread-safe: used on the event loop's thread.
 */
final class MachineTypeCatalog {
  private static final TimeSpan RETRY_DELAY = TimeSpan.seconds(1);

  private final Routine owner;
  private final EventLoop loop;
  private final KeyValueClient store;
  private final CloudClient cloud;
  private final Map<String, MachineType> typesByName = new HashMap<>();

  MachineTypeCatalog(Routine owner, EventLoop loop, KeyValueClient store, CloudClient cloud) {
    this.owner = owner;
    this.loop = loop;
    this.store = store;
    this.cloud = cloud;
  }

  /** Returns whether no type is known yet. */
  boolean isEmpty() {
    return typesByName.isEmpty();
  }

  /** Returns a live view of the known types, in no particular order. */
  Collection<MachineType> types() {
    return typesByName.values();
  }

  /** Returns the zones of all known types, sorted by name. */
  List<String> zones() {
    Set<String> zones = new TreeSet<>();
    typesByName.values().forEach(type -> zones.addAll(type.zones()));
    return List.copyOf(zones);
  }

  /** Adds types, replacing those with the same names. */
  void addAll(Collection<MachineType> types) {
    for (MachineType type : types) {
      typesByName.put(type.name(), type);
    }
  }

  /**
   * Reads the types, retrying until some are known. Types recorded by a leader in the key-value
   * store come first, so that submissions can be validated while the cloud is unreachable;
   * otherwise the cloud is queried.
   */
  void load() {
    if (!isEmpty()) {
      return;
    }
    LeaderRepository.readMachineTypes(
        store,
        recorded -> {
          if (recorded != null) {
            addAll(recorded);
          } else if (isEmpty() && cloud.tryAcquire()) {
            cloud.listMachineTypes(this::addOrRetry);
          } else {
            loop.schedule(RETRY_DELAY, owner, this::load);
          }
        });
  }

  private void addOrRetry(Collection<MachineType> types) {
    if (types != null) {
      addAll(types);
    } else {
      loop.schedule(RETRY_DELAY, owner, this::load);
    }
  }
}
