//! The types that nearly every module uses.

pub use crate::ids::{
    ChangeId, FencingNumber, GenerationId, HostName, Incarnation, KindName,
    LiveEventName, OrganisationName, PoolName, RequestId, Revision, TargetName, ZoneName,
};
pub use crate::verdict::Verdict;
