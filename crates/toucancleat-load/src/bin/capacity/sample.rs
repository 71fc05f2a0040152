//! Measurements of a role's cost, and the tools that take them.

use std::time::{Duration, Instant};

use stats_alloc::Region;
use toucancleat_core::peer::{Envelope, Message};
use toucancleat_core::prelude::*;

use crate::ALLOCATOR;

/// The cost of a role to one host, measured at one size.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    /// Size on which the role's cost depends.
    pub size: f64,
    /// Memory of the state, in bytes.
    pub state_bytes: f64,
    /// Messages sent per second.
    pub messages_per_s: f64,
    /// Encoded bytes sent per second.
    pub bytes_per_s: f64,
    /// Processor time, in microseconds per second.
    pub cpu_us_per_s: f64,
}

/// A role of the control plane with its measurements.
#[derive(Debug)]
pub struct Role {
    /// Name of the role.
    pub name: &'static str,
    /// Unit of the size.
    pub size: &'static str,
    /// Size for one host of the target fleet.
    pub target_size: f64,
    /// Mechanism that implements the role.
    pub mechanism: &'static str,
    /// Changes that would reduce the role's traffic. Empty if the page lists none.
    pub traffic_reduction: &'static str,
    /// Conditions of the measurement and what it leaves out.
    pub note: &'static str,
    /// Measurements at each size.
    pub samples: Vec<Sample>,
}

/// Counts of sent messages and their encoded bytes.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Number of messages.
    pub messages: u64,
    /// Encoded bytes.
    pub bytes: u64,
}

impl Traffic {
    /// Counts a message as if it were sent in a batch of its own.
    pub fn count(&mut self, from: &HostName, message: impl Into<Message>) {
        let envelope = Envelope {
            from: from.clone(),
            incarnation: Incarnation(1_700_000_000_000),
            stamp: 1,
            message: message.into(),
        };
        self.messages += 1;
        self.bytes += toucancleat_wire::encode_batch(&[envelope]).len() as u64;
    }
}

/// Sums the time that closures take.
#[derive(Debug, Default)]
pub struct Stopwatch {
    /// Sum of the times so far.
    pub elapsed: Duration,
}

impl Stopwatch {
    /// Runs a closure and adds its duration.
    pub fn time<T>(&mut self, run: impl FnOnce() -> T) -> T {
        let start = Instant::now();
        let value = run();
        self.elapsed += start.elapsed();
        value
    }
}

/// Returns the value that a closure creates, with the number of bytes that stay allocated.
pub fn measure_allocation<T>(create: impl FnOnce() -> T) -> (T, f64) {
    let region = Region::new(ALLOCATOR);
    let value = create();
    let change = region.change();
    let retained_bytes = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
    (value, retained_bytes)
}
