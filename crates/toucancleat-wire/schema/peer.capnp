@0xfc1702645af66790;

# The envelopes of messages between entry hosts, and the interfaces that deliver them.

using Accounts = import "accounts.capnp";
using CrashMarks = import "crash_marks.capnp";
using Limits = import "limits.capnp";
using Membership = import "membership.capnp";
using Spread = import "spread.capnp";
using Streams = import "streams.capnp";
using Targets = import "targets.capnp";

struct Envelope {
  from @0 :Text;
  incarnation @1 :UInt64;
  stamp @2 :UInt64;
  message :union {
    # N.B. Each further kind of message takes the next number. No number is ever reused.
    none @3 :Void;
    membership @4 :Membership.Message;
    targets @5 :Targets.Message;
    crashMarks @6 :CrashMarks.Message;
    accounts @7 :Accounts.Message;
    spread @8 :Spread.Message;
    streams @9 :Streams.Message;
    holds @10 :Streams.HoldMessage;
    limits @11 :Limits.Message;
  }
}

struct Batch {
  envelopes @0 :List(Envelope);
}

# The bootstrap interface of a connection. It returns the Peer only to a host that proves
# the peers' key, because the peers' port must not serve callers.
interface Door {
  open @0 (key :Data) -> (peer :Peer);
}

interface Peer {
  # Delivers a packed message whose root is a Batch. Packing removes the zero bytes, which
  # are half of a message or more.
  deliver @0 (packed :Data) -> ();
}
