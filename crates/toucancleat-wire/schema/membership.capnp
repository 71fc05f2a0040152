@0xe6b3be756fe47e1b;

# Messages about the membership of hosts and its failure detection. The membership module
# of toucancleat-core documents them.

enum Status {
  alive @0;
  suspect @1;
  dead @2;
  left @3;
}

struct Entry {
  name @0 :Text;
  zone @1 :Text;
  address @2 :Text;
  incarnation @3 :UInt64;
  status @4 :Status;
}

struct Delegate {
  name @0 :Text;
  address @1 :Text;
}

struct PoolSpare {
  pool @0 :Text;
  requests @1 :UInt32;
}

struct ZoneSummary {
  zone @0 :Text;
  madeUnixMs @1 :UInt64;
  liveHosts @2 :UInt32;
  delegates @3 :List(Delegate);
  spare @4 :List(PoolSpare);
}

struct Exchange {
  sender @0 :Entry;
  digest @1 :UInt64;
  entries @2 :List(Entry);
  summary @3 :ZoneSummary;
}

struct Message {
  union {
    ping :group {
      sequence @0 :UInt64;
      exchange @1 :Exchange;
    }
    ack :group {
      sequence @2 :UInt64;
      subject @3 :Text;
      exchange @4 :Exchange;
    }
    pingRequest :group {
      sequence @5 :UInt64;
      subject @6 :Text;
      exchange @7 :Exchange;
    }
    syncRequest :group {
      offset @8 :UInt32;
      sender @9 :Entry;
    }
    sync :group {
      nextOffset @10 :UInt32;
      entries @11 :List(Entry);
    }
    summary :group {
      reply @12 :Bool;
      summary @13 :ZoneSummary;
    }
  }
}
