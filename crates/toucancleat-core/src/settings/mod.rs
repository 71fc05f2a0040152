//! The settings tree: fleet, live event, organisation, request kind.
//!
//! Each level overrides only what differs from its parent. See docs/SETTINGS.md.

mod in_force;
mod tree;
mod values;

pub use self::in_force::{Admission, InForce};
pub use self::tree::{Level, LiveEvent, Organisation, Pool, Target, TargetClass, Tree};
pub use self::values::{Delivery, Effective, RoutingPolicy, Values};
