//! Open-loop load and experiments on admission and routing.
//!
//! One file of JSON with comments describes an experiment completely, so that its results can
//! be reproduced; see docs/MEASURED.md. All arms of an experiment receive the same arrivals for
//! the same seed.

pub mod caller;
pub mod decision;
pub mod engines;
pub mod hosts;
pub mod measurements;
pub mod plot;
pub mod report;
pub mod run;
pub mod spec;
pub mod workload;
