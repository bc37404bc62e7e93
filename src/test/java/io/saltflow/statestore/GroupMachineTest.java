package io.saltflow.statestore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.saltflow.agreement.Entry;
import io.saltflow.agreement.Kept;
import io.saltflow.agreement.Message;
import io.saltflow.agreement.Raft;
import io.saltflow.agreement.Ready;
import io.saltflow.agreement.Snapshot;
import io.saltflow.kv.Limits;
import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Time;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A group of one, whose disk is there at once. */
class GroupMachineTest {
  private final List<String> done = new ArrayList<>();
  private GroupMachine machine;
  private Ready.Save save;

  private GroupMachine machine(List<Entry> entries) throws BadMessage {
    Kept kept = new Kept(1, null, new Snapshot(0, 0, List.of("a"), new byte[0]), entries);
    Raft.Pace pace = new Raft.Pace(Span.seconds(1), Span.millis(100), 0.0005, 1);
    Raft raft = new Raft("a", pace, kept, n -> 0, new Time(0));
    GroupMachine.Out out =
        new GroupMachine.Out() {
          @Override
          public void save(Ready.Save s) {
            save = s;
          }

          @Override
          public void send(Message m) {
            done.add(m.toString());
          }

          @Override
          public void replaced() {}

          @Override
          public void serves(boolean is) {
            done.add(is ? "serves" : "does not");
          }

          @Override
          public void changed() {}
        };
    Limits limits = new Limits(1000, 1000, 8, 8);
    return new GroupMachine(raft, kept, limits, 1 << 20, out, new Time(0));
  }

  /** Elected, with what it has to write down written down. */
  private void lead() {
    machine.tick(new Time(5000));
    while (save != null) {
      save = null;
      machine.saved(new Time(5000));
    }
  }

  /**
   * An entry that it can't read was agreed on. Going on behind it, its contents would differ from
   * the others' without anybody noticing.
   */
  @Test
  void nothingIsDoneBehindAnEntryThatCannotBeRead() throws BadMessage {
    machine = machine(List.of(new Entry(1, 1, null, new byte[] {9, 9, 9})));
    IllegalStateException e = assertThrows(IllegalStateException.class, this::lead);
    assertTrue(e.getMessage().startsWith("entry 1 can't be read"), e.getMessage());
    assertFalse(machine.serving());
    machine.tick(new Time(9000));
    machine.received(new Message.VoteAsked("b", "a", 9, 9, 9, false, true), new Time(9000));
    machine.whenLeading(() -> done.add("answered"), () -> done.add("refused"), new Time(9000));
    assertEquals(List.of("refused"), done);
  }

  @Test
  void aGroupOfOneServes() throws BadMessage {
    machine = machine(List.of());
    lead();
    machine.whenLeading(() -> done.add("answered"), () -> done.add("refused"), new Time(5001));
    assertEquals(List.of("serves", "answered"), done);
  }
}
