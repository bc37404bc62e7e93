package io.saltflow.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against group settings that are misread, and errors that do not name the faulty field. */
class GroupSettingsTest {
  private static final Path SHIPPED = Path.of("deploy/group.json");

  @TempDir Path folder;

  private void assertRejected(String text, String self, String message) throws IOException {
    Path file = folder.resolve("group.json");
    Files.writeString(file, text);
    ConfigException exception =
        assertThrows(ConfigException.class, () -> GroupSettings.read(file, self));
    assertTrue(exception.getMessage().contains(message), exception.getMessage());
  }

  @Test
  void groupFileIsReadAndErrorsNameTheField() throws IOException, ConfigException {
    String shipped = Files.readString(SHIPPED);
    assertRejected(shipped, "a", "group.key: cannot read the group key");
    Files.writeString(folder.resolve("group.key"), "too short");
    assertRejected(shipped, "a", "a group's key needs 16 bytes or more");
    Files.writeString(folder.resolve("group.key"), "long enough for a key");
    assertRejected(shipped, "d", "nodes: no node is named d");
    assertRejected(shipped.replace("127.0.0.1:2392", "nowhere"), "a", "nodes.b.peers");
    assertRejected(shipped.replace("\"name\"", "\"nome\""), "a", "'nome'");
    Files.writeString(folder.resolve("good.json"), shipped);
    GroupSettings read = GroupSettings.read(folder.resolve("good.json"), "b");
    assertEquals(3, read.nodes().size());
    assertEquals(2382, read.nodes().get("b").clientAddress().getPort());
  }
}
