//! The decision logic of toucancleat, written as pure reducers.
//!
//! Nothing in this crate performs I/O, reads a clock, starts a thread or seeds a random
//! number generator by itself: the daemon feeds events in and carries effects out. This
//! lets the model checker replay the traces of a specification through the same code that
//! serves requests.

pub mod accounts;
pub mod claims;
pub mod crash_marks;
pub mod dissemination;
mod effect;
mod event;
pub mod freshness;
pub mod generation;
pub mod holds;
pub mod homes;
pub mod ids;
pub mod lengths;
pub mod limits;
pub mod membership;
pub mod observation;
pub mod orders;
pub mod peer;
pub mod prelude;
mod reduce;
pub mod refusal;
pub mod requests;
pub mod rng;
pub mod routing;
pub mod settings;
mod state;
pub mod status;
pub mod streams;
pub mod targets;
pub mod timeline;
pub mod verdict;

pub use self::effect::{Dispatch, Effect};
pub use self::event::Event;
pub use self::reduce::reduce;
pub use self::state::{Identity, State};
