//! The settings tree: fleet, live event, organisation, request kind.
//!
//! Each level overrides only what differs from its parent. See docs/SETTINGS.md.

mod change;
mod edit;
pub mod store;
mod tree;
mod values;

pub use self::change::{Change, Edit};
pub use self::edit::{Applied, EditError, join_pointer, pointer_segments};
pub use self::tree::{Level, LiveEvent, Organisation, Pool, Target, TargetClass, Tree};
pub use self::values::{Delivery, Effective, RoutingPolicy, Values};
