package io.saltflow.kv;

import io.saltflow.protocol.BadMessage;
import io.saltflow.protocol.Body;
import io.saltflow.protocol.MsgPack;
import io.saltflow.protocol.Span;
import io.saltflow.protocol.Wire;
import java.util.ArrayList;
import java.util.List;

/**
 * What is written down of one request: its effects, all of which happen or none.
 *
 * @param epoch the store's revision from then on
 */
public record Step(long epoch, List<Effect> effects) {
  private static final String EFFECTS = "do";
  private static final String END = "end";

  /** The step's bytes: a MessagePack map. */
  public byte[] encode() {
    List<Object> list = new ArrayList<>(effects.size());
    for (Effect e : effects) {
      Body b = Body.of();
      if (e instanceof Effect.Put p) {
        b.with(Wire.PUT, p.key()).with(Wire.VALUE, p.data());
        if (p.lease() != 0) {
          b.with(Wire.LEASE, p.lease());
        }
      } else if (e instanceof Effect.Delete d) {
        b.with(Wire.DELETE, d.key());
      } else if (e instanceof Effect.Grant g) {
        b.with(Wire.LEASE, g.lease()).with(Wire.TTL_MS, g.ttl().ms());
      } else if (e instanceof Effect.End n) {
        b.with(END, n.lease());
      }
      list.add(b);
    }
    return MsgPack.encode(Body.of().with(Wire.REVISION, epoch).with(EFFECTS, list));
  }

  /** Reads what {@link #encode} wrote. */
  public static Step decode(byte[] bytes) throws BadMessage {
    Body body = MsgPack.decode(bytes);
    List<Effect> effects = new ArrayList<>();
    for (Body b : body.maps(EFFECTS)) {
      if (b.get(Wire.PUT) != null) {
        effects.add(
            new Effect.Put(b.text(Wire.PUT), b.map(Wire.VALUE), b.integerOr(Wire.LEASE, 0)));
      } else if (b.get(Wire.DELETE) != null) {
        effects.add(new Effect.Delete(b.text(Wire.DELETE)));
      } else if (b.get(Wire.TTL_MS) != null) {
        effects.add(new Effect.Grant(b.integer(Wire.LEASE), new Span(b.integer(Wire.TTL_MS))));
      } else {
        effects.add(new Effect.End(b.integer(END)));
      }
    }
    return new Step(body.integer(Wire.REVISION), effects);
  }
}
