@0xfc1702645af66790;

# What entry hosts say to each other.

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
    # N.B. Further concerns get further numbers; none is ever used again.
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

# The first object of a connection. It gives the peer only against the peers' key, since
# the peers' port must not serve callers.
interface Door {
  open @0 (key :Data) -> (peer :Peer);
}

interface Peer {
  # A packed message with a Batch as its root: packing takes out the zero bytes, which are
  # half of a message or more.
  deliver @0 (packed :Data) -> ();
}
