//! The guard of one stream: each token once, in order, from one generation only.
//!
//! The guard is asked for every frame that arrives from a target, so it holds a few words
//! and decides without allocation. See docs/design/generations.md.

mod cursor;
mod delivery;

pub use self::cursor::{Cursor, CursorError, CursorKeys, CursorSeal};
pub use self::delivery::{Config, Effect, Ending, Event, Rejection, State, reduce};
