@0x833016be553b97cc;

# Messages about requests that crash targets. The crash_marks module of toucancleat-core
# documents them.

struct Id128 {
  low @0 :UInt64;
  high @1 :UInt64;
}

struct Crash {
  target @0 :Text;
  epoch @1 :UInt64;
}

struct CrashMarks {
  fingerprint @0 :Id128;
  crashes @1 :List(Crash);
}

struct Marked {
  relay @0 :Bool;
  crash @1 :Crash;
  # 16 bytes for each fingerprint, in little-endian order.
  fingerprints @2 :Data;
}

struct Cleared {
  relay @0 :Bool;
  cleared @1 :List(CrashMarks);
}

struct AskTurn {
  fingerprint @0 :Id128;
  attempt @1 :Id128;
}

struct NoTurn {
  attempt @0 :Id128;
  retryAfterMs @1 :UInt64;
}

struct Message {
  union {
    marked @0 :Marked;
    cleared @1 :Cleared;
    askTurn @2 :AskTurn;
    turn @3 :Id128;
    noTurn @4 :NoTurn;
    endTurn @5 :Id128;
  }
}
