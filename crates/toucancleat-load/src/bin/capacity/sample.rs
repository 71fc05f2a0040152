//! What is measured of a role at one size.

use std::time::{Duration, Instant};

use stats_alloc::Region;
use toucancleat_core::peer::{Envelope, Message};
use toucancleat_core::prelude::*;

use crate::ALLOCATOR;

/// The cost of a role to one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    /// Size that the role's cost depends on.
    pub size: f64,
    /// Memory of the state.
    pub state_bytes: f64,
    /// Messages sent a second.
    pub messages_per_s: f64,
    /// Encoded bytes sent a second.
    pub bytes_per_s: f64,
    /// Processor time, in microseconds a second.
    pub cpu_us_per_s: f64,
}

/// A role with its measured points.
#[derive(Debug)]
pub struct Role {
    /// Name of the role.
    pub name: &'static str,
    /// What the size counts.
    pub size: &'static str,
    /// The size for one node at the letter's target.
    pub target_size: f64,
    /// The mechanism that carries the role.
    pub mechanism: &'static str,
    /// What would cut the role's traffic.
    pub relief: &'static str,
    /// How the points were measured, and what they leave out.
    pub note: &'static str,
    /// The points.
    pub samples: Vec<Sample>,
}

/// Counts messages and their encoded bytes.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Encoded bytes.
    pub bytes: u64,
}

impl Traffic {
    /// Counts a message as it would travel in a batch of its own.
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

/// Sums up the time that closures take.
#[derive(Debug, Default)]
pub struct Stopwatch {
    /// The time so far.
    pub elapsed: Duration,
}

impl Stopwatch {
    /// Times a closure.
    pub fn time<T>(&mut self, run: impl FnOnce() -> T) -> T {
        let start = Instant::now();
        let value = run();
        self.elapsed += start.elapsed();
        value
    }
}

/// Returns a value with the bytes that making it left allocated.
pub fn allocated<T>(make: impl FnOnce() -> T) -> (T, f64) {
    let region = Region::new(ALLOCATOR);
    let value = make();
    let change = region.change();
    let grown = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
    (value, grown)
}
