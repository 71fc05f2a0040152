//! What is known of answers' lengths before they end.
//!
//! Nobody knows how long an answer will be. This module learns it from answers that ended,
//! from those that were cut off before their end, and from those still running. See
//! docs/POLICY.md, "Lengths".

mod buckets;
mod distribution;
mod sketch;
mod store;

pub use self::distribution::Distribution;
pub use self::sketch::Sketch;
pub use self::store::{Config, Running, Store};
