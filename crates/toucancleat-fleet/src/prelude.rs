//! Types that nearly every module of a daemon uses.

pub use toucancleat_core::prelude::{
    HostName, KindName, OrganisationName, PoolName, TargetName, Verdict, ZoneName,
};

pub use crate::configuration::{Configuration, Repetition, Route};
pub use crate::event::{Effect, Event, Note};
pub use crate::reduce::reduce;
pub use crate::request::{Arrival, Dispatch, Outcome, Reason, Refusal, Ticket};
pub use crate::state::{Identity, State};
