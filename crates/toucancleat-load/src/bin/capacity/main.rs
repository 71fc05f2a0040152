//! Measures what a node's control costs, and writes docs/CAPACITY.md from the slopes.
//!
//! Each role's reducers and codec are driven at several sizes in one process and in
//! virtual time. The costs are fitted by a straight line and worked out at the size that
//! the letter sets. Run it with
//! `cargo run --release -p toucancleat-load --bin capacity -- docs/CAPACITY.md`.

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

/// Counts allocated bytes, which is how the memory of a state is measured.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() -> ExitCode {
    let Some(path) = std::env::args().nth(1) else {
        eprintln!("expected the path of the page to write, such as docs/CAPACITY.md");
        return ExitCode::from(2);
    };
    let measured = [
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
        page::render(&measured, &membership::detections(), &claims::measure()),
    ) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("expected to write {path}: {error}");
            ExitCode::FAILURE
        }
    }
}
