@0xfe1ea12ed599309a;

# Messages about the targets that may take new work. The targets module of toucancleat-core
# documents them.

struct LeavingTarget {
  target @0 :Text;
  epoch @1 :UInt64;
}

struct Report {
  target @0 :Text;
  epoch @1 :UInt64;
  version @2 :UInt64;
  outForMs @3 :UInt64;
}

struct Views {
  reply @0 :Bool;
  leaving @1 :List(LeavingTarget);
}

struct Message {
  union {
    leaving @0 :LeavingTarget;
    report @1 :Report;
    views @2 :Views;
  }
}
