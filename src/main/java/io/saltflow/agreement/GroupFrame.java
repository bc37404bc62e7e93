package io.saltflow.agreement;

import io.saltflow.protocol.AvroInput;
import io.saltflow.protocol.AvroOutput;
import io.saltflow.protocol.BadMessage;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.apache.avro.io.BinaryEncoder;

/**
 * A group's messages as signed frames, in Avro's binary form by the schema {@code agreement.avsc}.
 *
 * <p>A frame that was signed once may come again at any time, by chance or by somebody who recorded
 * it: the protocol itself takes late and repeated messages, so nothing more than the signature is
 * needed. The signature covers who sends, to whom and in which group.
 */
public final class GroupFrame {
  private final String group;
  private final GroupKey key;

  /**
   * The frames of one group.
   *
   * @param group its identity, given to it when it was made
   */
  public GroupFrame(String group, GroupKey key) {
    this.group = group;
    this.key = key;
  }

  /** The message's frame, signed. */
  public byte[] encode(Message m) {
    byte[] frame =
        AvroOutput.bytes(
            out -> {
              out.writeFixed(new byte[GroupKey.MAC_BYTES]);
              out.writeString(group);
              out.writeString(m.from());
              out.writeString(m.to());
              out.writeLong(m.term());
              write(out, m);
            });
    byte[] mac = key.sign(frame, GroupKey.MAC_BYTES);
    System.arraycopy(mac, 0, frame, 0, mac.length);
    return frame;
  }

  private static void write(BinaryEncoder out, Message m) throws IOException {
    if (m instanceof Message.VoteAsked v) {
      out.writeIndex(0);
      out.writeLong(v.lastIndex());
      out.writeLong(v.lastTerm());
      out.writeBoolean(v.pre());
      out.writeBoolean(v.transfer());
    } else if (m instanceof Message.Voted v) {
      out.writeIndex(1);
      out.writeBoolean(v.granted());
      out.writeBoolean(v.pre());
    } else if (m instanceof Message.Append a) {
      out.writeIndex(2);
      out.writeLong(a.prevIndex());
      out.writeLong(a.prevTerm());
      out.writeLong(a.commit());
      out.writeLong(a.round());
      EntryForm.write(out, a.entries());
    } else if (m instanceof Message.Appended a) {
      out.writeIndex(3);
      out.writeBoolean(a.ok());
      out.writeLong(a.match());
      out.writeLong(a.round());
    } else if (m instanceof Message.Part p) {
      out.writeIndex(4);
      out.writeLong(p.lastIndex());
      out.writeLong(p.lastTerm());
      EntryForm.writeTexts(out, p.members());
      out.writeLong(p.offset());
      out.writeBytes(p.bytes());
      out.writeBoolean(p.last());
      out.writeLong(p.round());
    } else if (m instanceof Message.PartTaken p) {
      out.writeIndex(5);
      out.writeLong(p.lastIndex());
      out.writeLong(p.offset());
      out.writeLong(p.round());
    } else {
      out.writeIndex(6);
    }
  }

  /**
   * Reads a frame. The signature is judged before anything else of it is looked at: a stranger's
   * bytes reach no more of this than the length.
   *
   * @throws BadMessage when it is not signed by the group's key, or is another group's, or can't be
   *     read
   */
  public Message decode(byte[] frame) throws BadMessage {
    if (frame.length <= GroupKey.MAC_BYTES
        || !key.signed(frame, GroupKey.MAC_BYTES, Arrays.copyOf(frame, GroupKey.MAC_BYTES))) {
      throw new BadMessage("a frame that is not signed by the group's key");
    }
    return read(Arrays.copyOfRange(frame, GroupKey.MAC_BYTES, frame.length));
  }

  /** What follows the signature. */
  Message read(byte[] signed) throws BadMessage {
    AvroInput in = new AvroInput(signed);
    if (!in.text().equals(group)) {
      throw new BadMessage("a frame of another group");
    }
    String from = in.text();
    String to = in.text();
    long term = EntryForm.natural(in.number());
    Message m =
        switch (in.index()) {
          case 0 ->
              new Message.VoteAsked(
                  from,
                  to,
                  term,
                  EntryForm.natural(in.number()),
                  EntryForm.natural(in.number()),
                  in.flag(),
                  in.flag());
          case 1 -> new Message.Voted(from, to, term, in.flag(), in.flag());
          case 2 -> append(in, from, to, term);
          case 3 ->
              new Message.Appended(
                  from,
                  to,
                  term,
                  in.flag(),
                  EntryForm.natural(in.number()),
                  EntryForm.natural(in.number()));
          case 4 ->
              new Message.Part(
                  from,
                  to,
                  term,
                  EntryForm.natural(in.number()),
                  EntryForm.natural(in.number()),
                  EntryForm.texts(in),
                  EntryForm.natural(in.number()),
                  in.bytes(),
                  in.flag(),
                  EntryForm.natural(in.number()));
          case 5 ->
              new Message.PartTaken(
                  from,
                  to,
                  term,
                  EntryForm.natural(in.number()),
                  EntryForm.natural(in.number()),
                  EntryForm.natural(in.number()));
          case 6 -> new Message.TakeOver(from, to, term);
          default -> throw new BadMessage("a frame of an unknown kind");
        };
    if (!in.atEnd()) {
      throw new BadMessage("a frame with bytes behind its message");
    }
    return m;
  }

  private static Message append(AvroInput in, String from, String to, long term) throws BadMessage {
    long prevIndex = EntryForm.natural(in.number());
    long prevTerm = EntryForm.natural(in.number());
    long commit = EntryForm.natural(in.number());
    long round = EntryForm.natural(in.number());
    List<Entry> entries = EntryForm.read(in, prevIndex + 1);
    return new Message.Append(from, to, term, prevIndex, prevTerm, entries, commit, round);
  }
}
