//! Admission to targets, by one account of each target's memory.
//!
//! Every target has a home among the entry hosts of its zone. The home keeps the only
//! full account of the target's memory. Any host sends it a request for a reservation and
//! then streams from the target directly. One [`State`] holds both sides on a host: the
//! accounts of the targets that it is home of, and its own requests. See docs/POLICY.md.

mod account;
mod admission;
mod client;
mod config;
mod event;
mod forecast;
mod home;
mod known_targets;
mod message;
mod pending;
mod queue;
mod reply;
mod running;
mod scheduling;
mod state;
mod step_time;
mod widen;

pub use self::config::{Config, LengthOracle};
pub use self::event::{
    Effect, Event, LoadReport, Outcome, RefusalReason, Request, TargetSpec,
};
pub use self::forecast::{Footprint, Forecast};
pub use self::message::{
    AccountSummary, FinishedGeneration, Limits, Message, Progress, QueueNotice,
    ReservationGrant, ReservationRefusal, ReservationRequest, RunningGeneration,
};
pub use self::queue::{Queue, WaitingRequest};
pub use self::state::{State, reduce};
pub use self::step_time::StepTime;
