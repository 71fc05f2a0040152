//! The answer to "may this request have run?".

use std::fmt;

/// Says whether a request may have run at a target.
///
/// Only [`Verdict::NotRun`] permits another attempt of a request that isn't idempotent, so
/// a verdict is lowered to `NotRun` on proof alone: no byte reached a target, or the
/// target said so itself. See docs/DESIGN.md, "Verdicts".
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
    /// Returns the name used in problem bodies and headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "NotRun",
            Verdict::MayHaveRun => "MayHaveRun",
            Verdict::Ran => "Ran",
        }
    }

    /// Says whether another attempt keeps the promise of running at most once.
    pub fn permits_retry(self, idempotent: bool) -> bool {
        idempotent || self == Verdict::NotRun
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
