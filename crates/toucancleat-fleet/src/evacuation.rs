//! Availability zones whose targets operators have evacuated.
//!
//! No request is sent to the targets of an evacuated zone until operators take the zone back.
//! See docs/design/evacuation.md.

use serde::{Deserialize, Serialize};
use toucancleat_core::prelude::*;

use crate::store::StorePosition;

/// What a host reports to its peers about evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationReport {
    /// The position of the store as of which the zones are known.
    pub position: StorePosition,
    /// The evacuated zones.
    pub zones: Vec<ZoneName>,
}
