//! The settings tree: fleet, live event, organisation and request kind.
//!
//! Each level sets only the values that differ from those of its parent. See
//! docs/SETTINGS.md.

mod change;
mod check;
mod directory;
pub mod document;
mod edit;
mod explain;
mod in_force;
mod problem;
mod ranges;
pub mod store;
mod tree;
mod values;

pub use self::change::{Change, Edit};
pub use self::check::{check, parse};
pub use self::directory::{Directory, LiveEventError, Participation, api_key_sha256};
pub use self::edit::{Applied, EditError, join_pointer, pointer_segments};
pub use self::explain::{Explained, LevelName, Source};
pub use self::in_force::{RequestSettings, SettingsInForce};
pub use self::problem::{Position, Problem, Problems};
pub use self::ranges::{NUMBER_RANGES, NumberRange};
pub use self::tree::{Level, LiveEvent, Organisation, Pool, Target, TargetClass, Tree};
pub use self::values::{Delivery, Effective, RoutingPolicy, Values};
