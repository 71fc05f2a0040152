//! Identifiers and other types used by nearly every module.

pub use crate::ids::{
    ChangeId, FencingNumber, GenerationId, HostName, Incarnation, KindName,
    LiveEventName, OrganisationName, PoolName, RegionName, RequestId, Revision,
    TargetName, ZoneName,
};
pub use crate::verdict::Verdict;
