//! Types that nearly every module of this crate and of the daemon uses.

pub use toucancleat_core::prelude::{
    HostName, KindName, OrganisationName, PoolName, RegionName, TargetName, Verdict,
    ZoneName,
};

pub use crate::configuration::{Configuration, RetrySafety, Route};
pub use crate::event::{Effect, Event, LogEvent};
pub use crate::prompt_part::PartId;
pub use crate::reduce::reduce;
pub use crate::request::{
    AttemptOutcome, Dispatch, Handoff, HandoffOutcome, IncomingRequest, Reason, Refusal,
    RequestNumber,
};
pub use crate::state::{Identity, State};
pub use crate::target::SoftwareVersion;
pub use crate::target_notice::TargetNotice;
