@0xd4f1a0c29be37751;

# Messages about reservations at the homes of targets. The accounts module of
# toucancleat-core documents them.

struct Id {
  # A 128-bit identifier.
  high @0 :UInt64;
  low @1 :UInt64;
}

enum RoutingPolicy {
  homeAccounts @0;
  roundRobin @1;
  leastOutstanding @2;
  twoChoices @3;
  reserveMaximum @4;
}

enum RefuseReason {
  late @0;
  queueTimeout @1;
  tooLarge @2;
  noTarget @3;
  retryBudget @4;
  notHome @5;
}

enum Outcome {
  completed @0;
  truncated @1;
  cancelled @2;
  failed @3;
  notRun @4;
}

struct Reserve {
  request @0 :Id;
  generation @1 :Id;
  target @2 :Text;
  organisation @3 :Text;
  kind @4 :Text;
  promptTokens @5 :UInt32;
  maxOutputTokens @6 :UInt32;
  prefixHashes @7 :List(UInt64);
  deadlineUnixMs @8 :UInt64;
  priority @9 :UInt8;
  weight @10 :Float64;
  outgrowChanceMax @11 :Float64;
  stepTimeMaxMs @12 :Float64;
  queueTimeoutMs @13 :UInt64;
  policy @14 :RoutingPolicy;
}

struct Granted {
  request @0 :Id;
  generation @1 :Id;
  target @2 :Text;
  priority @3 :UInt8;
}

struct Queued {
  request @0 :Id;
  target @1 :Text;
  waitMs @2 :UInt64;
}

struct Refused {
  request @0 :Id;
  target @1 :Text;
  reason @2 :RefuseReason;
  retryAfterMs @3 :UInt64;
}

struct Withdraw {
  request @0 :Id;
  generation @1 :Id;
  target @2 :Text;
}

struct Progress {
  generation @0 :Id;
  target @1 :Text;
  tokens @2 :UInt32;
}

struct Finished {
  generation @0 :Id;
  target @1 :Text;
  tokens @2 :UInt32;
  outcome @3 :Outcome;
}

struct Holding {
  reserve @0 :Reserve;
  tokens @1 :UInt32;
}

struct Holdings {
  targets @0 :List(Text);
  entries @1 :List(Holding);
}

struct Load {
  target @0 :Text;
  running @1 :UInt32;
  queued @2 :UInt32;
  waitMs @3 :UInt64;
  usedShare @4 :Float64;
}

struct Message {
  union {
    reserve @0 :Reserve;
    granted @1 :Granted;
    queued @2 :Queued;
    refused @3 :Refused;
    withdraw @4 :Withdraw;
    progress @5 :List(Progress);
    finished @6 :Finished;
    rebuild @7 :List(Text);
    holdings @8 :Holdings;
    loads @9 :List(Load);
  }
}
