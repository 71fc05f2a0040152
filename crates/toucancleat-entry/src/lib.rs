//! The daemon of an entry host: sockets and timers around the reducers.
