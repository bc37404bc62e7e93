package io.saltflow.coordination;

import io.saltflow.protocol.JobId;
import io.saltflow.protocol.TaskId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A trouble of a drawn day: how often it comes, and what it does. */
enum DrawnTrouble {
  MACHINES_ARE_MUTE {
    @Override
    void strike(World w) {
      strikeSome(w, MachineTrouble.IS_MUTE, 120);
    }
  },
  MACHINES_HANG {
    @Override
    void strike(World w) {
      strikeSome(w, MachineTrouble.HANGS, 40);
    }
  },
  MACHINES_ARE_CUT_OFF {
    @Override
    void strike(World w) {
      strikeSome(w, MachineTrouble.IS_CUT_OFF, 60);
    }
  },
  MACHINES_HEAR_NO_ANSWER {
    @Override
    void strike(World w) {
      strikeSome(w, MachineTrouble.HEARS_NO_ANSWER, 120);
    }
  },
  MACHINES_ARE_BACK_AT_ONCE {
    @Override
    void strike(World w) {
      World.Worker worker = w.anyWorker();
      if (worker != null) {
        worker.startAgain();
      }
    }
  },
  RUNNING_JOBS_ARE_CANCELLED_AND_HANG {
    @Override
    void strike(World w) {
      World.Worker worker = w.anyWorker();
      if (worker != null) {
        worker.tasks.keySet().stream().limit(2).map(TaskId::job).forEach(w::cancel);
        worker.hungUntil = w.now + steps(w, 30);
      }
    }
  },
  JOBS_ARE_CANCELLED_AS_THEY_END {
    @Override
    void strike(World w) {
      ending(w).forEach(w::cancel);
    }
  },
  LEADERS_CHANGE {
    @Override
    void strike(World w) {
      w.loseLeader(w.chance(0.5) ? steps(w, 60) : 0);
      if (w.chance(0.3)) {
        w.electAt = w.now + World.STEP;
      }
    }
  },
  LEADERS_ARE_SUPERSEDED {
    @Override
    void strike(World w) {
      w.supersede(steps(w, 50));
    }
  },
  THE_STATE_SERVICE_REFUSES {
    @Override
    void strike(World w) {
      w.refuseLeader(steps(w, 60));
      if (w.chance(0.3)) {
        w.run(1);
        w.stateDown(steps(w, 130));
      }
    }
  },
  THE_CLOUD_IS_OUT {
    @Override
    void strike(World w) {
      w.cloudDownUntil = w.now + steps(w, 120);
    }
  },
  COPIES_COME_LATE {
    @Override
    void prepare(World w) {
      w.copies = 0.1;
    }
  },
  WRITES_ARE_LATE {
    @Override
    void prepare(World w) {
      w.late = 0.1;
    }
  },
  ANSWERS_ARE_SLOW {
    @Override
    void prepare(World w) {
      w.slow = 0.2;
      w.readingMs = 1000;
    }
  };

  /** What holds all day. */
  void prepare(World w) {}

  /** What comes now and then. */
  void strike(World w) {}

  private static long steps(World w, int most) {
    return w.random.nextInt(most) * World.STEP;
  }

  private static void strikeSome(World w, MachineTrouble trouble, int mostSteps) {
    long until = w.now + steps(w, mostSteps);
    for (World.Worker worker : w.workers.values()) {
      if (w.chance(0.3)) {
        trouble.strike(worker, until);
      }
    }
  }

  private static List<JobId> ending(World w) {
    List<JobId> found = new ArrayList<>();
    for (World.Worker worker : w.workers.values()) {
      for (Map.Entry<TaskId, World.OnMachine> e : worker.tasks.entrySet()) {
        World.OnMachine task = e.getValue();
        if (task.isRunning() && task.endsAt <= w.now + World.STEP) {
          found.add(e.getKey().job());
        }
      }
    }
    return found;
  }
}
