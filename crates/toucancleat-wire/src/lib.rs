//! Cap'n Proto messages between the entry hosts.
