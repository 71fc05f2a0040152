//! Events and effects of admission.

use crate::accounts::message::{Limits, Message};
use crate::prelude::*;

/// What may happen to the accounts and requests of a host.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// A caller's request, or another attempt at one, looks for a target.
    Arrived(Request),
    /// A message came from a peer.
    Received {
        /// The sender.
        from: HostName,
        /// What it said.
        message: Message,
    },
    /// A generation of this host has come so far; cheap, sent on each read of the stream.
    Progressed {
        /// The generation.
        generation: GenerationId,
        /// Tokens generated so far.
        tokens: u32,
    },
    /// A generation of this host has ended, in whatever way.
    Finished {
        /// The generation.
        generation: GenerationId,
        /// Tokens generated.
        tokens: u32,
        /// How it ended.
        outcome: Outcome,
    },
    /// A caller left, or gave up, while its request was waiting for a target.
    Abandoned {
        /// The request.
        request: RequestId,
    },
    /// A target reported its load.
    LoadReported {
        /// The target.
        target: TargetName,
        /// What it said.
        report: LoadReport,
    },
    /// A target's cache stored or evicted prefixes.
    CacheChanged {
        /// The target.
        target: TargetName,
        /// Prefix hashes that are held now.
        stored: Vec<u64>,
        /// Prefix hashes that are gone.
        evicted: Vec<u64>,
    },
    /// The settings name these targets in the host's own zone.
    TargetsChanged(Vec<TargetSpec>),
    /// The live hosts of the zone, and the home of each target.
    HomesChanged {
        /// Live entry hosts of the zone, with this one.
        hosts: Vec<HostName>,
        /// Home of each target of the zone.
        homes: Vec<(TargetName, HostName)>,
    },
    /// A host of the zone is lost.
    HostLost {
        /// The lost host.
        host: HostName,
    },
    /// A target takes no new work any more.
    TargetLeaving {
        /// The target.
        target: TargetName,
    },
    /// A target is gone, or out of service until it returns.
    TargetLost {
        /// The target.
        target: TargetName,
    },
    /// A target serves again.
    TargetReturned {
        /// The target.
        target: TargetName,
    },
    /// Time has passed; sent about every 50 ms.
    Tick,
}

/// What the host has to do.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum Effect {
    /// Send a message to a peer of the zone.
    Send {
        /// The receiver, never this host.
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
        /// Priority to hand to the engine.
        priority: u8,
    },
    /// Refuse the request at once; it was not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why it is refused.
        reason: RefuseReason,
        /// When to come back.
        retry_after_ms: u64,
    },
}

/// A request that looks for a target.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request.
    pub request: RequestId,
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
    /// When the answer must have ended.
    pub deadline_unix_ms: u64,
    /// Priority from the settings.
    pub priority: u8,
    /// The organisation's weight in the queue.
    pub weight: f64,
    /// Bounds from the settings.
    pub limits: Limits,
    /// Number of the attempt, 0 for the first.
    pub attempt: u32,
    /// Share of attempts to the pool that may be retries.
    pub retry_budget_ratio: f64,
    /// Targets that must not be used, such as those that failed it before.
    pub excluded: Vec<TargetName>,
}

/// A target as the settings describe it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSpec {
    /// The target.
    pub name: TargetName,
    /// Its pool.
    pub pool: PoolName,
    /// Cache memory, in tokens.
    pub memory_tokens: u64,
    /// Most sequences decoded at once.
    pub max_batch: u32,
}

/// The load of an engine, as of `measured_unix_ms`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// When the engine measured it.
    pub measured_unix_ms: u64,
    /// Sequences that are decoded.
    pub running: u32,
    /// Sequences that wait in the engine.
    pub waiting: u32,
    /// Memory in use, in tokens.
    pub used_tokens: u64,
    /// Whole memory, in tokens.
    pub memory_tokens: u64,
    /// Preemptions since the engine started.
    pub preemptions_total: u64,
    /// Duration of the last steps.
    pub step_ms: f64,
}

/// How a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Outcome {
    /// The answer is whole.
    Completed,
    /// The answer reached the most tokens that it may have.
    Truncated,
    /// The caller left or the generation was cancelled.
    Cancelled,
    /// The target failed in mid-stream.
    Failed,
    /// The target did not begin it.
    NotRun,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum RefuseReason {
    /// The answer can't be on time.
    Late,
    /// The wait exceeds the queue's timeout.
    QueueTimeout,
    /// The request alone is larger than any target's memory.
    TooLarge,
    /// No target of the pool is in service.
    NoTarget,
    /// Too many attempts to the pool are retries already.
    RetryBudget,
    /// The sender is not the home of the target, or not yet.
    NotHome,
}
