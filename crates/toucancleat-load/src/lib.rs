//! Open-loop load and experiments on admission and routing.
//!
//! A run is described by one file of JSON with comments, so that anyone can run it again;
//! see docs/MEASURED.md. Arms of an experiment get the same arrivals from the same seed.

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
