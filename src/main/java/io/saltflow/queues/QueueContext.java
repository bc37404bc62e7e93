package io.saltflow.queues;

import io.saltflow.model.MonotonicTime;
import java.util.ArrayList;
import java.util.List;

/** The current time, the pending effects and the recorder, shared by the parts of the core. */
final class QueueContext {
  final Recorder recorder;
  MonotonicTime now;
  long wallMs;
  private List<Effect> effects = new ArrayList<>();

  QueueContext(Recorder recorder) {
    this.recorder = recorder;
  }

  void setTime(MonotonicTime time, long wallMs) {
    now = time;
    this.wallMs = wallMs;
  }

  void emit(Effect effect) {
    effects.add(effect);
  }

  List<Effect> takeEffects() {
    List<Effect> out = effects;
    effects = new ArrayList<>();
    return out;
  }

  /** Records an entry that can no longer be rejected. */
  void record(Entry entry, Runnable onRecorded) {
    recorder.add(List.of(entry), onRecorded, null);
  }

  void confirm(Message message) {
    message.pendingPublishes.forEach(t -> emit(new Effect.Confirm(t)));
    message.pendingPublishes.clear();
  }

  void reject(Message message) {
    message.pendingPublishes.forEach(t -> emit(new Effect.Refuse(t, PublishRejection.NOT_NOW)));
    message.pendingPublishes.clear();
  }
}
