@0xa95d3e7f80b61c24;

# Which targets may take new work; see toucancleat-core's targets and crash_marks modules.

using Id = import "accounts.capnp".Id;

struct Epoch {
  target @0 :Text;
  epoch @1 :UInt64;
}

struct Message {
  union {
    leaving @0 :Epoch;
    report :group {
      target @1 :Epoch;
      version @2 :UInt64;
      outForMs @3 :UInt64;
    }
    views :group {
      reply @4 :Bool;
      leaving @5 :List(Epoch);
    }
  }
}

struct CrashMarks {
  fingerprint @0 :Id;
  crashes @1 :List(Epoch);
}

struct MarkMessage {
  union {
    marked :group {
      relay @0 :Bool;
      crash @1 :Epoch;
      fingerprints @2 :List(Id);
    }
    cleared :group {
      relay @3 :Bool;
      cleared @4 :List(CrashMarks);
    }
    askTurn :group {
      fingerprint @5 :Id;
      attempt @6 :Id;
    }
    turn @7 :Id;
    noTurn :group {
      attempt @8 :Id;
      retryAfterMs @9 :UInt64;
    }
    endTurn @10 :Id;
  }
}
