package io.saltflow.coordination;

import io.saltflow.protocol.Size;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Room on machines that are on their way, counted by how much each has left. */
final class Coming {
  private Map<Size, Integer> machines = new LinkedHashMap<>();

  void add(Size room, int count) {
    if (count > 0 && room.cores() > 0) {
      machines.merge(room, count, Integer::sum);
    }
  }

  /** Takes room for tasks of one size, as far as there is any; how many tasks find none. */
  int take(Size task, int tasks) {
    int left = tasks;
    List<Map.Entry<Size, Integer>> before = new ArrayList<>(machines.entrySet());
    machines = new LinkedHashMap<>();
    for (Map.Entry<Size, Integer> e : before) {
      Size room = e.getKey();
      int count = e.getValue();
      int slots = task.countIn(room);
      if (left == 0 || slots == 0) {
        add(room, count);
        continue;
      }
      int full = Math.min(count, left / slots);
      add(room.minus(task.times(slots)), full);
      left -= full * slots;
      if (left > 0 && full < count) {
        add(room.minus(task.times(left)), 1);
        full++;
        left = 0;
      }
      add(room, count - full);
    }
    return left;
  }
}
