//! Estimates the lengths of answers before they end.
//!
//! The length of an answer is unknown until it ends. The estimates come from answers that
//! ended, from answers that were cut off before their end, and from those still running.
//! See docs/POLICY.md, "Lengths".

mod buckets;
mod distribution;
mod sketch;
mod store;

pub use self::distribution::Distribution;
pub use self::sketch::Sketch;
pub use self::store::{Config, RunningAnswer, Store};
