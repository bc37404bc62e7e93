package io.saltflow.raft;

import java.util.Arrays;

/**
 * Sends a snapshot to a follower whose next entry is no longer in the log (section 7 of the paper).
 * At most one chunk is in flight per follower.
 */
final class SnapshotSender {
  private static final int CHUNK_BYTES = 64 * 1024;

  private final NodeState state;

  SnapshotSender(NodeState state) {
    this.state = state;
  }

  /**
   * Starts sending the latest snapshot if it is not being sent already.
   *
   * @param resend whether to resend the chunk in flight, which may have been lost
   */
  void send(Progress peer, boolean resend, long round) {
    Snapshot snapshot = state.log.snapshot();
    if (peer.snapshotOffset < 0 || peer.snapshotIndex != snapshot.index()) {
      peer.snapshotOffset = 0;
      peer.snapshotIndex = snapshot.index();
    } else if (!resend) {
      return;
    }
    sendChunk(peer, snapshot, round);
  }

  /** Sends the next chunk after the follower acknowledged the previous one. */
  void onInstallSnapshotResponse(
      Progress peer, RaftMessage.InstallSnapshotResponse response, long round) {
    Snapshot snapshot = state.log.snapshot();
    long snapshotIndex = snapshot.index();
    if (peer.snapshotOffset >= 0
        && peer.snapshotIndex == snapshotIndex
        && response.lastIncludedIndex() == snapshotIndex) {
      peer.snapshotOffset = Math.min(response.offset(), snapshot.data().length);
      sendChunk(peer, snapshot, round);
    }
  }

  private void sendChunk(Progress peer, Snapshot snapshot, long round) {
    int from = (int) peer.snapshotOffset;
    int to = Math.min(snapshot.data().length, from + CHUNK_BYTES);
    state.send(
        new RaftMessage.InstallSnapshot(
            state.self,
            peer.member,
            state.term,
            snapshot.index(),
            snapshot.term(),
            snapshot.members(),
            from,
            Arrays.copyOfRange(snapshot.data(), from, to),
            to == snapshot.data().length,
            round));
  }
}
