package io.saltflow.coordination;

/** What keeps a leader and a machine from talking to each other. */
enum MachineTrouble {
  HANGS {
    @Override
    void strike(World.Worker w, long until) {
      w.hungUntil = until;
    }
  },
  IS_CUT_OFF {
    @Override
    void strike(World.Worker w, long until) {
      w.cutUntil = until;
    }
  },
  HEARS_NO_ANSWER {
    @Override
    void strike(World.Worker w, long until) {
      w.deafUntil = until;
    }
  },
  IS_MUTE {
    @Override
    void strike(World.Worker w, long until) {
      w.muteUntil = until;
    }
  };

  abstract void strike(World.Worker w, long until);
}
