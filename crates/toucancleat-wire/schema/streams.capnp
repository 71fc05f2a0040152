@0x9c1d0f4be2a7d365;

# Messages about streams that were resumed at another host. The streams module of
# toucancleat-core documents them.

using Id = import "accounts.capnp".Id;

struct Message {
  union {
    none @0 :Void;
    # The generation that the sender has taken over.
    resumed @1 :Id;
  }
}

# A message about a target that takes no new work while an order changes it. The holds
# module of toucancleat-core documents it.
struct HoldMessage {
  union {
    none @0 :Void;
    hold @1 :Text;
    release @2 :Text;
  }
}
