package io.saltflow.transport;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A connection or a long-lived activity. Routines form a tree (structured concurrency): cancelling
 * one cancels its children first, and the timers of a cancelled routine never fire.
 */
public abstract class Routine {
  private final Routine parent;
  private final Set<Routine> children = new LinkedHashSet<>();
  private boolean cancelled;

  /** Creates a routine that is cancelled with its parent, which may be {@code null}. */
  public Routine(Routine parent) {
    this.parent = parent;
    if (parent != null) {
      if (parent.cancelled) {
        cancelled = true;
      } else {
        parent.children.add(this);
      }
    }
  }

  /** Returns whether this routine has been cancelled. */
  public final boolean cancelled() {
    return cancelled;
  }

  /** Cancels this routine and its descendants. Has no effect if it is cancelled already. */
  public final void cancel() {
    if (cancelled) {
      return;
    }
    cancelled = true;
    for (Routine child : new ArrayList<>(children)) {
      child.cancel();
    }
    children.clear();
    if (parent != null) {
      parent.children.remove(this);
    }
    onCancel();
  }

  protected final int childCount() {
    return children.size();
  }

  /** Releases the resources of the routine. Called once, after its children have been cancelled. */
  protected void onCancel() {}
}
