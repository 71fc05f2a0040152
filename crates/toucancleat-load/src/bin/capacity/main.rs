//! Measures the cost of the control plane to one host and writes docs/PROTOCOL-COSTS.md.
//!
//! The reducers and the codec of each role are driven at several sizes, in one process and in
//! virtual time. A straight line is fitted to each cost and evaluated at the size of the
//! target fleet. Run it with
//! `cargo run --release -p toucancleat-load --bin capacity -- docs/PROTOCOL-COSTS.md`.

mod accounts;
mod claims;
mod crash_marks;
mod dissemination;
mod fit;
mod fleet_size;
mod homes;
mod limits;
mod membership;
mod page;
mod sample;
mod targets;

use std::alloc::System;
use std::process::ExitCode;

use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

/// Allocator that counts bytes, by which the memory of a state is measured.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() -> ExitCode {
    let Some(path) = std::env::args().nth(1) else {
        eprintln!(
            "expected the path of the page to write, such as docs/PROTOCOL-COSTS.md"
        );
        return ExitCode::from(2);
    };
    let roles = [
        membership::measure(),
        homes::measure(),
        limits::measure(),
        targets::measure(),
        crash_marks::measure(),
        dissemination::measure(),
        accounts::measure(),
    ];
    match std::fs::write(
        &path,
        page::render(
            &roles,
            &membership::measure_detections(),
            &claims::measure(),
        ),
    ) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("could not write {path}: {error}");
            ExitCode::FAILURE
        }
    }
}
