package io.saltflow.records;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.saltflow.leader.LeaderLease;
import io.saltflow.model.MachineType;
import io.saltflow.model.Resources;
import io.saltflow.model.TimeSpan;
import io.saltflow.protocol.MessageBody;
import io.saltflow.protocol.MessagePackCodec;
import io.saltflow.store.KeyValueClient;
import io.saltflow.store.StoreLimits;
import io.saltflow.transport.EventLoop;
import io.saltflow.transport.HttpCaller;
import io.saltflow.transport.HttpClient;
import io.saltflow.transport.Routine;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests when a leader records the machine types. */
class MachineTypesRecordTest {
  private static final class Root extends Routine {
    Root() {
      super(null);
    }
  }

  private int writes;
  private int status = 503;

  private static List<MachineType> types(double price, String... zones) {
    return List.of(
        new MachineType(
            "box",
            new Resources(8, 0, 32),
            1,
            price,
            price / 2,
            TimeSpan.seconds(15),
            List.of(zones)));
  }

  @Test
  void typesAreRecordedUntilConfirmedAndAgainWhenChanged() throws IOException {
    EventLoop loop = new EventLoop();
    HttpCaller caller =
        (method, target, body, timeout, then) -> {
          writes++;
          byte[] responseBody = MessagePackCodec.encode(MessageBody.of().with("epoch", 7L));
          then.accept(new HttpClient.Answer(status, responseBody, loop.now(), 0));
        };
    Root root = new Root();
    KeyValueClient client =
        new KeyValueClient(root, loop, caller, caller, 100, 100, new StoreLimits(8, 8, 100));
    LeaderLease lease = new LeaderLease(TimeSpan.seconds(5), TimeSpan.seconds(10));
    LeaderRepository repository = new LeaderRepository(root, client, null, lease, loop::now);

    repository.recordMachineTypes(types(1, "a"));
    assertEquals(1, writes, "first attempt, rejected");
    status = 0;
    repository.recordMachineTypes(types(1, "a"));
    assertEquals(2, writes, "retried after the rejection, unanswered");
    status = 200;
    repository.recordMachineTypes(types(1, "a"));
    assertEquals(3, writes);
    repository.recordMachineTypes(types(1.2, "a"));
    assertEquals(3, writes, "a change of prices alone is not recorded");
    repository.recordMachineTypes(types(1.2, "a", "b"));
    assertEquals(4, writes, "a change of zones is recorded");
  }
}
