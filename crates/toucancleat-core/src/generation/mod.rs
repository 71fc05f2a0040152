//! Delivery of one stream to its caller: each token once, in order, from one generation
//! only.
//!
//! The reducer runs for every frame that arrives from a target, so its state is a few
//! words and it decides without allocation. See docs/design/generations.md.

mod cursor;
mod delivery;

pub use self::cursor::{Cursor, CursorError, CursorKeys, CursorSeal};
pub use self::delivery::{Config, Effect, Ending, Event, Rejection, State, reduce};
