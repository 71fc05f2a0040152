//! What a look at a target showed.

use crate::accounts::LoadReport;

/// What an entry host saw when it asked a target how it is.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum Observation {
    /// It serves.
    Serving {
        /// When it was started; 0 where it doesn't say.
        started_unix_ms: u64,
        /// Its load, for a model engine.
        load: Option<LoadReport>,
    },
    /// It says that it leaves.
    Leaving {
        /// When it was started; 0 where it doesn't say.
        started_unix_ms: u64,
    },
    /// Its host refused the connection, so its process is gone.
    Gone,
    /// Nothing was heard, which a cut network or an overloaded target explains too.
    Silent,
}
