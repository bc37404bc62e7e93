package io.saltflow.agreement;

import java.util.Arrays;

/**
 * Sends a snapshot to a follower whose next entry is not in the log any more (section 7 of the
 * paper): in parts, one in flight at a time.
 */
final class SnapshotSender {
  private static final int PART_BYTES = 64 * 1024;

  private final NodeState node;

  SnapshotSender(NodeState node) {
    this.node = node;
  }

  /**
   * Begins to send the latest snapshot, unless it is being sent.
   *
   * @param again sends the part in flight once more, as it may be lost
   */
  void send(Progress peer, boolean again, long round) {
    Snapshot snapshot = node.log.snapshot();
    if (peer.snapshotOffset < 0 || peer.snapshotIndex != snapshot.index()) {
      peer.snapshotOffset = 0;
      peer.snapshotIndex = snapshot.index();
    } else if (!again) {
      return;
    }
    sendPart(peer, snapshot, round);
  }

  void onPartTaken(Progress peer, Message.PartTaken m, long round) {
    Snapshot snapshot = node.log.snapshot();
    long index = snapshot.index();
    if (peer.snapshotOffset >= 0 && peer.snapshotIndex == index && m.lastIndex() == index) {
      peer.snapshotOffset = Math.min(m.offset(), snapshot.bytes().length);
      sendPart(peer, snapshot, round);
    }
  }

  private void sendPart(Progress peer, Snapshot snapshot, long round) {
    int from = (int) peer.snapshotOffset;
    int to = Math.min(snapshot.bytes().length, from + PART_BYTES);
    node.send(
        new Message.Part(
            node.self,
            peer.name,
            node.term,
            snapshot.index(),
            snapshot.term(),
            snapshot.members(),
            from,
            Arrays.copyOfRange(snapshot.bytes(), from, to),
            to == snapshot.bytes().length,
            round));
  }
}
