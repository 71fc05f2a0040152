@0xb7a8e60d51c42f93;

# Settings on their way to every host; see toucancleat-core's spread module.

using Id = import "accounts.capnp".Id;

struct Edit {
  path @0 :Text;
  # The new value as JSON; none removes what is there.
  value :union {
    none @1 :Void;
    json @2 :Text;
  }
}

struct Change {
  revision @0 :UInt64;
  changeId @1 :Id;
  author @2 :Text;
  atUnixMs @3 :UInt64;
  edits @4 :List(Edit);
}

struct Message {
  union {
    announce :group {
      revision @0 :UInt64;
      ageMs @1 :UInt64;
    }
    # One above the revision that the sender has; 0 before its first tree.
    pull @2 :UInt64;
    delta :group {
      changes @3 :List(Change);
      revision @4 :UInt64;
      ageMs @5 :UInt64;
    }
    snapshot :group {
      revision @6 :UInt64;
      # The tree as JSON.
      tree @7 :Text;
      ageMs @8 :UInt64;
    }
  }
}
