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
