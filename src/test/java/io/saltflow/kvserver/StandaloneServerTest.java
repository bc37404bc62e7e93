package io.saltflow.kvserver;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.GoldenTraces;
import io.saltflow.emulator.EmulatedKeyValueStore;
import io.saltflow.kv.KeyValueLimits;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.InvalidMessageException;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpResponse;
import io.saltflow.transport.Routine;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the standalone server with a data directory and against the emulated store. */
class StandaloneServerTest {
  private static final KeyValueLimits LIMITS = new KeyValueLimits(100_000, 100_000, 8, 8);

  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  @TempDir Path folder;
  private final EventLoop loop;
  private Root root;
  private StandaloneServer server;
  private KeyValueServer handler;

  StandaloneServerTest() throws IOException {
    loop = new EventLoop();
  }

  private void open(Path data, long snapshotBytes) throws IOException {
    root = new Root();
    server =
        new StandaloneServer(
            root,
            loop,
            new StandaloneServer.Options(LIMITS, snapshotBytes),
            FileSystemDirectory.open(data),
            new long[] {5, 6});
    handler = server.server();
  }

  @AfterEach
  void stop() {
    if (root != null) {
      root.cancel();
    }
  }

  private String request(String method, String target, MessageBody body) throws IOException {
    HttpResponse[] reply = new HttpResponse[1];
    handler.handle(
        method,
        target,
        body == null ? new byte[0] : MessagePackCodec.encode(body),
        received -> {
          reply[0] = received;
          loop.pause();
        });
    if (reply[0] == null) {
      loop.run();
    }
    return text(reply[0]);
  }

  static String text(HttpResponse reply) throws IOException {
    try {
      String text =
          reply.body().length == 0 ? "" : " " + MessagePackCodec.decode(reply.body()).fields();
      return reply.status() + text;
    } catch (InvalidMessageException exception) {
      throw new IOException(exception);
    }
  }

  static MessageBody transaction(List<Object> guards, Object... writes) {
    return MessageBody.of().with("guards", guards).with("writes", List.of(writes));
  }

  static MessageBody put(String key, Object value) {
    return MessageBody.of().with("put", key).with("data", MessageBody.of().with("x", value));
  }

  /** Sends a request and returns the status, followed by the body if there is one. */
  interface RequestSender {
    String request(String method, String target, MessageBody body) throws IOException;
  }

  /** Sends a fixed sequence of requests and returns them with their replies as text lines. */
  static List<String> conversation(RequestSender sender) throws IOException {
    List<String> lines = new ArrayList<>();
    MessageBody leased = put("led", 1L).with("tenancy", 1L);
    Object[][] requests = {
      {"GET", "/kv/a", null},
      {
        "POST",
        "/multi",
        transaction(List.of(MessageBody.of().with("path", "a").with("stamp", 0L)), put("a", 1L))
      },
      {
        "POST",
        "/multi",
        transaction(List.of(MessageBody.of().with("path", "a").with("stamp", 0L)), put("a", 2L))
      },
      {"GET", "/kv/a", null},
      {"POST", "/multi", transaction(List.of(), put("p/1", 1L), put("p/2", 2L), put("q", 3L))},
      {"GET", "/kv?prefix=p/&page=1", null},
      {"GET", "/kv?prefix=p/&after=p/1", null},
      {"POST", "/leases", MessageBody.of().with("ttlMs", 600_000L)},
      {"POST", "/leases", MessageBody.of().with("ttlMs", 99L)},
      {"POST", "/multi", transaction(List.of(), leased)},
      {"POST", "/multi", transaction(List.of(), put("x", 1L).with("tenancy", 9L))},
      {"POST", "/leases/1/extend", null},
      {"POST", "/leases/9/extend", null},
      {"GET", "/changes?prefix=led&after=1&holdMs=0", null},
      {"DELETE", "/leases/1", null},
      {"DELETE", "/leases/1", null},
      {"GET", "/kv/led", null},
      {"GET", "/changes?prefix=led&after=4", null},
      {
        "POST", "/multi", transaction(List.of(), MessageBody.of().with("delete", "a"), put("b", 1L))
      },
      {"POST", "/multi", transaction(List.of())},
      {"POST", "/multi", transaction(List.of(), put("k".repeat(201), 1L))},
      {"POST", "/multi", MessageBody.of().with("writes", 3L)},
      {"GET", "/kv/", null},
      {"GET", "/changes?prefix=&after=1&holdMs=60001", null},
      {"PUT", "/kv/a", null}
    };
    for (Object[] request : requests) {
      MessageBody body = (MessageBody) request[2];
      lines.add(
          "> " + request[0] + " " + request[1] + (body == null ? "" : " " + abbreviated(body)));
      lines.add("  " + sender.request((String) request[0], (String) request[1], body));
    }
    return lines;
  }

  private static String abbreviated(MessageBody body) throws IOException {
    String text;
    try {
      text = MessagePackCodec.decode(MessagePackCodec.encode(body)).fields().toString();
    } catch (InvalidMessageException exception) {
      throw new IOException(exception);
    }
    return text.length() > 120 ? text.substring(0, 120) + "..." : text;
  }

  @Test
  void emulatorAndServerRepliesMatch() throws IOException {
    open(folder, 1 << 20);
    List<String> serverReplies = conversation(this::request);
    EmulatedKeyValueStore emulator = new EmulatedKeyValueStore(LIMITS, batches -> {}, loop.now());
    handler = new KeyValueServer(root, loop, emulator.core(), () -> emulator.flush(loop.now()));
    assertEquals(conversation(this::request), serverReplies);
    GoldenTraces.check("state-service", serverReplies);
  }

  /** Guards against writes lost with group commit, with and without a snapshot meanwhile. */
  @Test
  void acknowledgedWritesSurviveRestartWithAndWithoutSnapshot() throws Exception {
    for (long snapshotBytes : new long[] {1 << 30, 20_000}) {
      Path data = folder.resolve("s" + snapshotBytes);
      open(data, snapshotBytes);
      int[] completed = {0};
      for (int i = 0; i < 2000; i++) {
        MessageBody transaction = transaction(List.of(), put("k" + i % 700, (long) i));
        handler.handle(
            "POST",
            "/multi",
            MessagePackCodec.encode(transaction),
            reply -> {
              assertEquals(200, reply.status());
              if (++completed[0] % 500 == 0) {
                loop.pause();
              }
            });
        if (i % 500 == 499) {
          loop.run();
          // The server checks periodically whether a snapshot is due.
          loop.schedule(TimeSpan.millis(300), root, loop::pause);
          loop.run();
        }
      }
      assertEquals(
          "200 {tenancy=1}", request("POST", "/leases", MessageBody.of().with("ttlMs", 60_000L)));
      long revision = server.store().revision();
      root.cancel();
      try (var files = Files.list(data)) {
        boolean snapshot =
            files.anyMatch(file -> file.getFileName().toString().startsWith("snap-"));
        assertEquals(snapshotBytes < 1 << 20, snapshot);
      }
      open(data, snapshotBytes);
      assertEquals(revision, server.store().revision());
      assertEquals(700, server.store().size());
      assertEquals(1999L, server.store().value("k" + 1999 % 700).data().get("x"));
      assertEquals(
          "200 {tenancy=2}", request("POST", "/leases", MessageBody.of().with("ttlMs", 60_000L)));
      root.cancel();
    }
  }

  /** Guards against a revision that goes back when no remaining key has the latest revision. */
  @Test
  void snapshotKeepsRevisionOfDelete() throws Exception {
    Path data = folder.resolve("gone");
    open(data, 1);
    request("POST", "/multi", transaction(List.of(), put("a", 1L)));
    request("POST", "/multi", transaction(List.of(), MessageBody.of().with("delete", "a")));
    awaitSnapshot(data);
    root.cancel();
    open(data, 1 << 30);
    assertEquals("404 {epoch=3}", request("GET", "/kv/a", null));
    assertEquals("200 {epoch=4}", request("POST", "/multi", transaction(List.of(), put("a", 2L))));
  }

  private void awaitSnapshot(Path data) throws IOException {
    for (int i = 0; i < 500; i++) {
      if (Files.exists(data.resolve("snap-0000000000000003"))) {
        return;
      }
      loop.schedule(TimeSpan.millis(20), root, loop::pause);
      loop.run();
    }
    throw new IOException("no snapshot of both entries was written");
  }

  private String output(PrintAction action) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    action.run(new PrintStream(bytes, true, StandardCharsets.UTF_8));
    return bytes.toString(StandardCharsets.UTF_8);
  }

  private interface PrintAction {
    void run(PrintStream out) throws IOException;
  }

  @Test
  void maintenanceChecksDumpsBacksUpRestoresAndRepairs() throws Exception {
    Path data = folder.resolve("data");
    open(data, 1 << 30);
    for (int i = 0; i < 5; i++) {
      request("POST", "/multi", transaction(List.of(), put("k" + i, (long) i)));
    }
    request("POST", "/leases", MessageBody.of().with("ttlMs", 60_000L));
    assertThrows(IOException.class, () -> FileSystemDirectory.open(data), "directory opened twice");
    root.cancel();
    StoreMaintenance maintenance = new StoreMaintenance(data);
    assertEquals("5 keys, revision 6, next entry 7: in order\n", output(maintenance::check));
    assertTrue(
        output(maintenance::dump)
            .startsWith("{\"key\":\"k0\",\"version\":2,\"lease\":0,\"value\":{\"x\":0}}"));
    Path file = folder.resolve("kept");
    output(out -> maintenance.snapshot(file, out));
    assertThrows(
        IOException.class,
        () -> maintenance.snapshot(file, System.out),
        "backup file already exists");
    Path fresh = folder.resolve("fresh");
    output(out -> new StoreMaintenance(fresh).restore(file, new long[] {8, 9}, out));
    assertEquals(output(maintenance::dump), output(new StoreMaintenance(fresh)::dump));
    assertThrows(
        IOException.class,
        () -> new StoreMaintenance(fresh).restore(file, new long[2], System.out));
    open(fresh, 1 << 30);
    assertEquals("200 {epoch=7}", request("POST", "/multi", transaction(List.of(), put("n", 1L))));
    assertEquals(
        "200 {tenancy=2}",
        request("POST", "/leases", MessageBody.of().with("ttlMs", 60_000L)),
        "lease ID 1 reused after restore");
    root.cancel();
    byte[] backup = Files.readAllBytes(file);
    backup[backup.length / 2] ^= 1;
    Files.write(folder.resolve("bad"), backup);
    IOException ioException =
        assertThrows(
            IOException.class,
            () ->
                new StoreMaintenance(folder.resolve("x"))
                    .restore(folder.resolve("bad"), new long[2], System.out));
    assertTrue(
        ioException.getMessage().startsWith("bad: damaged at byte "), ioException.getMessage());
    Path log = data.resolve("log-0000000000000001");
    byte[] bytes = Files.readAllBytes(log);
    bytes[bytes.length / 3] ^= 1;
    Files.write(log, bytes);
    assertThrows(IOException.class, () -> open(data, 1 << 30), "server started with a corrupt log");
    assertThrows(IOException.class, () -> output(maintenance::check));
    String repairOutput = output(maintenance::repair);
    assertTrue(
        repairOutput.contains("is cut off at byte") && repairOutput.contains("can be opened"),
        repairOutput);
    assertTrue(output(maintenance::check).contains("in order"));
  }
}
