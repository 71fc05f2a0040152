//! The verdict on whether a request may have run.

use std::fmt;

/// Whether a request may have run at a target.
///
/// Only [`Verdict::NotRun`] permits another attempt of a request that isn't idempotent, so
/// `NotRun` requires proof: no byte reached a target, or the target itself reported that it
/// did not begin the request. See docs/DESIGN.md, "Verdicts".
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// No target began the request.
    NotRun,
    /// A target may have begun or finished the request.
    MayHaveRun,
    /// A target finished the request.
    Ran,
}

impl Verdict {
    /// Returns the name used in problem bodies and in headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "NotRun",
            Verdict::MayHaveRun => "MayHaveRun",
            Verdict::Ran => "Ran",
        }
    }

    /// Returns true if another attempt is safe: the request is idempotent, or no target began
    /// it.
    pub fn permits_retry(self, idempotent: bool) -> bool {
        idempotent || self == Verdict::NotRun
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
