package io.saltflow.controller;

import io.saltflow.emulator.CloudServer;
import io.saltflow.emulator.EmulatedCloud;
import io.saltflow.emulator.EmulatedKeyValueStore;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.kvserver.KeyValueServer;
import io.saltflow.model.MachineType;
import io.saltflow.model.Resources;
import io.saltflow.model.TimeSpan;
import io.saltflow.transport.Addresses;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpServer;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.util.List;

/**
 * Environment of controllers in tests: an emulated key-value store, and a cloud without capacity.
 */
final class EmulatedEnvironment extends Routine {
  private static final MachineType TYPE =
      new MachineType(
          "box", new Resources(8, 0, 32), 1, 1, 0.5, TimeSpan.seconds(15), List.of("a"));

  final EmulatedKeyValueStore store;
  private final KeyValueServer storeServer;
  private final CloudServer cloud;

  EmulatedEnvironment(EventLoop loop, KeyValueLimits limits) {
    super(null);
    store = new EmulatedKeyValueStore(limits, steps -> {}, loop.now());
    storeServer = new KeyValueServer(this, loop, store.core(), () -> store.flush(loop.now()));
    EmulatedCloud emulatedCloud =
        new EmulatedCloud(List.of(TYPE), 0, 100, TimeSpan.seconds(1), "vm-", loop.now());
    cloud = new CloudServer(this, loop, emulatedCloud, (parent, machine) -> parent);
  }

  /** Returns a handler that serves both the store and the cloud. */
  HttpServer.Handler handler() {
    return (method, target, body, answer) -> {
      if (KeyValueServer.serves(target)) {
        storeServer.handle(method, target, body, answer);
      } else {
        cloud.handle(method, target, body, answer);
      }
    };
  }

  /** Serves a handler on a free loopback port and returns its address. */
  String serve(EventLoop loop, HttpServer.Handler handler) throws IOException {
    HttpServer server = new HttpServer(this, loop, Addresses.parse("127.0.0.1:0"), 64, handler);
    return "127.0.0.1:" + server.port();
  }
}
