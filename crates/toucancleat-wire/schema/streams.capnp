@0x9c1d0f4be2a7d365;

# Streams that came back at another host; see toucancleat-core's streams module.

using Id = import "accounts.capnp".Id;

struct Message {
  union {
    none @0 :Void;
    # The generation that the sender has taken over.
    resumed @1 :Id;
  }
}

# Targets that take no new work while an order changes them; see toucancleat-core's holds
# module.
struct HoldMessage {
  union {
    none @0 :Void;
    hold @1 :Text;
    release @2 :Text;
  }
}
