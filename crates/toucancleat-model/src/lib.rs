//! Specifications of the core protocols, explored exhaustively.
//!
//! Each specification is a small state machine of its own, written from the protocol's
//! page under docs/design/ and not from the reducer's code. The tests explore it to the
//! last reachable state, show that a deliberately broken variant is caught, and replay
//! walks through it against the reducer, so that the two can't drift apart. See
//! docs/PROOFS.md.

pub mod claims;
pub mod delivery;
mod explore;
pub mod orders;
pub mod settings;

pub mod settings_dissemination;

pub use self::explore::{Counterexample, Exploration, explore, stuck, walk};
