@0xe4d72d8a249bc8b0;

# Messages about the limits of organisations. The limits module of toucancleat-core
# documents them.

struct Share {
  millirequestsPerS @0 :UInt64;
  concurrent @1 :UInt32;
}

struct Held {
  organisation @0 :Text;
  share @1 :Share;
  remainingMs @2 :UInt64;
  inUse @3 :UInt32;
}

struct Ask {
  startedMs @0 :UInt64;
  sequence @1 :UInt64;
  holdsSequence @2 :UInt64;
  # Its organisation is the organisation of the whole message.
  held @3 :Held;
  wanted @4 :Share;
  waiting @5 :UInt32;
}

struct Grant {
  organisation @0 :Text;
  sequence @1 :UInt64;
  share @2 :Share;
  termMs @3 :UInt64;
  tokensMillirequests @4 :UInt64;
  isEarly @5 :Bool;
}

struct Holdings {
  view @0 :UInt64;
  startedMs @1 :UInt64;
  held @2 :List(Held);
}

struct LoanAsk {
  organisation @0 :Text;
  borrower @1 :Text;
  lender @2 :Text;
  loan @3 :UInt64;
  sequence @4 :UInt64;
  wanted @5 :Share;
  hops @6 :UInt8;
}

struct LoanGrant {
  organisation @0 :Text;
  lender @1 :Text;
  loan @2 :UInt64;
  sequence @3 :UInt64;
  share @4 :Share;
  termMs @5 :UInt64;
  hops @6 :UInt8;
}

struct Witness {
  view @0 :UInt64;
  ask @1 :Ask;
  share @2 :Share;
}

struct Witnessed {
  view @0 :UInt64;
  organisation @1 :Text;
  sequence @2 :UInt64;
}

struct Message {
  union {
    ask @0 :Ask;
    grant @1 :Grant;
    # Digest of the sender's live hosts.
    query @2 :UInt64;
    holdings @3 :Holdings;
    loanAsk @4 :LoanAsk;
    loanGrant @5 :LoanGrant;
    witness @6 :Witness;
    witnessed @7 :Witnessed;
  }
}
