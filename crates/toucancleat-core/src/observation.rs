//! Results of observing a target.

use crate::accounts::LoadReport;

/// The result of one observation of a target.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum Observation {
    /// The target serves requests.
    Serving {
        /// Start time of the target's process; 0 if the target doesn't report it.
        started_unix_ms: u64,
        /// Reported load, for a model engine.
        load: Option<LoadReport>,
    },
    /// The target reports that it is leaving.
    Leaving {
        /// Start time of the target's process; 0 if the target doesn't report it.
        started_unix_ms: u64,
    },
    /// The target's host refused the connection, so the target's process has ended.
    ConnectionRefused,
    /// The target did not answer. A network partition or an overloaded target can be the
    /// cause as well as a crash.
    NoAnswer,
}
