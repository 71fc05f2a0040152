//! Events and effects of admission.

use crate::accounts::message::{Limits, Message};
use crate::prelude::*;

/// An event of the accounts.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// A request, or another attempt at one, needs a target.
    RequestReceived(Request),
    /// A message from a peer was received.
    MessageReceived {
        /// The sender.
        from: HostName,
        /// The message.
        message: Message,
    },
    /// A generation of this host has progressed. Cheap to handle, as it is sent on each
    /// read of the stream.
    GenerationProgressed {
        /// The generation.
        generation: GenerationId,
        /// Tokens generated so far.
        tokens: u32,
    },
    /// A generation of this host has ended, with any outcome.
    GenerationFinished {
        /// The generation.
        generation: GenerationId,
        /// Tokens generated.
        tokens: u32,
        /// How it ended.
        outcome: Outcome,
    },
    /// A caller disconnected or cancelled while its request waited for a target.
    Abandoned {
        /// The request.
        request: RequestId,
    },
    /// A target reported its load.
    LoadReported {
        /// The target.
        target: TargetName,
        /// The report.
        report: LoadReport,
    },
    /// A target's cache stored or evicted prefixes.
    CacheChanged {
        /// The target.
        target: TargetName,
        /// Prefix hashes that the cache holds now.
        stored: Vec<u64>,
        /// Prefix hashes that the cache no longer holds.
        evicted: Vec<u64>,
    },
    /// The settings list these targets in the zone of this host.
    TargetsChanged(Vec<TargetSpec>),
    /// The live hosts of the zone, or the homes of its targets, have changed.
    HomesChanged {
        /// Live entry hosts of the zone, including this one.
        hosts: Vec<HostName>,
        /// Home of each target of the zone.
        homes: Vec<(TargetName, HostName)>,
    },
    /// An entry host of the zone is lost.
    HostLost {
        /// The lost host.
        host: HostName,
    },
    /// A target no longer takes new work.
    TargetLeaving {
        /// The target.
        target: TargetName,
    },
    /// A target is unavailable.
    TargetUnavailable {
        /// The target.
        target: TargetName,
    },
    /// A target is available again.
    TargetAvailable {
        /// The target.
        target: TargetName,
    },
    /// Time has passed.
    Tick,
}

/// An effect of the accounts.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum Effect {
    /// Send a message to a peer of the zone.
    Send {
        /// The recipient, never this host.
        to: HostName,
        /// The message.
        message: Message,
    },
    /// Send the request to the target now.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The generation to run.
        generation: GenerationId,
        /// The chosen target.
        target: TargetName,
        /// Priority that the engine is given.
        priority: u8,
    },
    /// Refuse the request at once. It has not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why it is refused.
        reason: RefusalReason,
        /// Time after which the caller may retry.
        retry_after_ms: u64,
    },
}

/// A request that needs a target.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request.
    pub id: RequestId,
    /// The generation of this attempt.
    pub generation: GenerationId,
    /// The pool that serves the kind.
    pub pool: PoolName,
    /// Organisation of the caller.
    pub organisation: OrganisationName,
    /// Kind of the request.
    pub kind: KindName,
    /// Tokens of the prompt, as estimated by the entry host.
    pub prompt_tokens: u32,
    /// Most tokens that the answer may have.
    pub max_output_tokens: u32,
    /// Hashes of the prompt's growing prefixes, see [`crate::routing::prefix_hashes`].
    pub prefix_hashes: Vec<u64>,
    /// When the answer must be complete.
    pub deadline_unix_ms: u64,
    /// Priority from the settings.
    pub priority: u8,
    /// The organisation's weight in the queue.
    pub weight: f64,
    /// Bounds from the settings.
    pub limits: Limits,
    /// Number of the attempt, 0 for the first.
    pub attempt: u32,
    /// Ratio of retries to first attempts that the pool allows.
    pub retry_budget_ratio: f64,
    /// Targets that must not be used, such as those at which earlier attempts failed.
    pub excluded: Vec<TargetName>,
}

/// A target as described by the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSpec {
    /// The target.
    pub name: TargetName,
    /// Its pool.
    pub pool: PoolName,
    /// Cache memory, in tokens.
    pub memory_tokens: u64,
    /// Most sequences that are decoded at once.
    pub max_batch: u32,
}

/// The load of an engine at `measured_unix_ms`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// When the engine measured the load.
    pub measured_unix_ms: u64,
    /// Sequences that are being decoded.
    pub running: u32,
    /// Sequences that wait in the engine.
    pub waiting: u32,
    /// Memory in use, in tokens.
    pub used_tokens: u64,
    /// Size of the memory, in tokens.
    pub memory_tokens: u64,
    /// Preemptions since the engine started.
    pub preemptions_total: u64,
    /// Duration of the last steps, in milliseconds.
    pub step_ms: f64,
}

/// How a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Outcome {
    /// The answer is complete.
    Completed,
    /// The answer reached its limit of output tokens.
    Truncated,
    /// The caller disconnected, or the generation was cancelled.
    Cancelled,
    /// The target failed while the answer was streaming.
    Failed,
    /// The target did not start the generation.
    NotRun,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum RefusalReason {
    /// The answer can't be complete before its deadline.
    DeadlineUnreachable,
    /// The wait exceeds the queue timeout.
    QueueTimeout,
    /// The prompt alone fills the memory of the target.
    TooLarge,
    /// No target of the pool is available.
    NoTarget,
    /// The retry budget of the pool is exhausted.
    RetryBudget,
    /// The sender is not the home of the target, or not yet.
    NotHome,
}
