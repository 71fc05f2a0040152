//! Specifications of the core protocols, explored exhaustively.
//!
//! Each specification is a small state machine, written from the protocol's page under
//! docs/design/ and independently of the reducer's code. The tests explore every reachable
//! state, show that exploration detects deliberate mutations, and replay random walks
//! against the reducer, so that specification and reducer can't diverge. See
//! docs/PROOFS.md.

pub mod claims;
pub mod delivery;
pub mod evacuations;
mod explore;
pub mod orders;
pub mod settings;
pub mod settings_dissemination;
pub mod store_eras;

pub use self::explore::{
    Counterexample, Exploration, explore, find_stuck_state, random_walk,
};
