@0xb7a8e60d51c42f93;

# Messages that disseminate the settings to every host. The spread module of
# toucancleat-core documents them.

using Id = import "accounts.capnp".Id;

struct Edit {
  path @0 :Text;
  # The new value as JSON, or none to remove the present value.
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
    # The revision in force at the sender plus 1, or 0 before its first tree.
    pull @2 :UInt64;
    delta :group {
      changes @3 :List(Change);
      revision @4 :UInt64;
      ageMs @5 :UInt64;
    }
    snapshot :group {
      revision @6 :UInt64;
      # The tree of settings as JSON.
      tree @7 :Text;
      ageMs @8 :UInt64;
    }
  }
}
