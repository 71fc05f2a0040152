//! One request from its arrival to its last answer.

use std::net::SocketAddr;
use std::sync::Arc;

use toucancleat_core::prelude::*;

use crate::configuration::{Configuration, Repetition, Route};
use crate::crashers::Fingerprint;
use crate::peers::Load;

/// Number of a request within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request as its caller sent it, as far as decisions need it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    /// The caller's own name for this attempt, for logs.
    pub name: Arc<str>,
    /// The host that it asked for.
    pub hostname: String,
    /// Its path.
    pub path: String,
    /// Its API key.
    pub key: Option<String>,
    /// What it is recognised by when it comes again under another name.
    pub fingerprint: Fingerprint,
    /// How long its caller waits.
    pub deadline_ms: Option<u64>,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Most tokens that it may generate.
    pub output_tokens_max: u64,
    /// The caller's guess of how many it will.
    pub output_tokens_hint: Option<u64>,
}

/// Tokens that a run may generate before its host has told the others of them: what an
/// engine makes in about a second.
const LOOKAHEAD_TOKENS: u64 = 130;

impl Arrival {
    /// Returns the memory that a run needs now and soon, in tokens.
    ///
    /// The length of an answer isn't known and the caller's hint is often far off, so what
    /// a run has made so far counts, and a little of what comes next.
    pub fn memory_tokens(&self, generated_tokens: u64) -> u64 {
        let end = self.output_tokens_max.max(generated_tokens);
        self.prompt_tokens + (generated_tokens + LOOKAHEAD_TOKENS).min(end)
    }
}

/// Where and how a request is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The request.
    pub ticket: Ticket,
    /// The target that may run it; any other declines.
    pub target: TargetName,
    /// The target's address.
    pub address: SocketAddr,
    /// The organisation that holds the caller's key.
    pub organisation: Option<OrganisationName>,
    /// Its rank.
    pub priority: u8,
    /// When its caller gives up, or the route's timeout ends it.
    pub give_up_at_ms: u64,
    /// When another target is tried although this one hasn't answered.
    pub answer_by_ms: u64,
    /// What may be repeated.
    pub repetition: Repetition,
    /// What decided it.
    pub basis: DecisionInputs,
}

/// What a choice was based on, for the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DecisionInputs {
    /// Version of the configuration.
    pub configuration_version: u64,
    /// How old the knowledge is that it was the newest.
    pub configuration_age_ms: u64,
    /// Version of the host list.
    pub targets_version: u64,
    /// Which attempt this is, from 1.
    pub attempt: u32,
    /// Cost of the target chosen.
    pub cost: f64,
    /// Other hosts heard lately.
    pub hosts_heard: usize,
}

/// Why a request is refused or fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Reason {
    /// No configuration is known yet.
    NoConfiguration,
    /// The configuration may have been replaced; a key in it may be withdrawn.
    StaleConfiguration,
    /// No route leads from the host and path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// No target of the pool takes new work.
    NoTarget,
    /// Targets declined the request.
    TargetsFull,
    /// The host is stopping and could not finish the request.
    Stopping,
    /// No target could be reached.
    Unreachable,
    /// A target failed, and the request may have run.
    TargetFailed,
    /// There was no answer in time, and the request may have run.
    TimedOut,
    /// Time ran out before the request was sent to any target.
    TooLate,
    /// The same request has broken off at each target that ran it.
    CrashesTargets,
}

impl Reason {
    /// Returns a short name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::NoConfiguration => "no_configuration",
            Reason::StaleConfiguration => "stale_configuration",
            Reason::NoRoute => "no_route",
            Reason::UnknownKey => "unknown_key",
            Reason::NoTarget => "no_target",
            Reason::TargetsFull => "targets_full",
            Reason::Stopping => "stopping",
            Reason::Unreachable => "unreachable",
            Reason::TargetFailed => "target_failed",
            Reason::TimedOut => "timed_out",
            Reason::TooLate => "too_late",
            Reason::CrashesTargets => "crashes_targets",
        }
    }
}

/// The end of a request that no target's answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether it may have run.
    pub verdict: Verdict,
    /// When the caller may come back.
    pub retry_after_ms: Option<u64>,
}

/// How an attempt at one target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was given whole.
    Answered {
        /// Time to the answer, or to the first event of a stream.
        took_ms: u64,
    },
    /// The target answered that it failed; the answer may be passed on.
    ErrorAnswer,
    /// The target said that it has not run the request.
    Declined,
    /// Another target has the address now, and has not run the request.
    Misdirected,
    /// No byte of the request reached a target.
    NotSent,
    /// The connection broke, or what came was no answer.
    Broken,
    /// No answer came in time.
    Silent,
}

impl Outcome {
    /// Says whether the request may have run at the target.
    pub fn verdict(self) -> Verdict {
        match self {
            Outcome::Answered { .. } | Outcome::ErrorAnswer => Verdict::Ran,
            Outcome::Declined | Outcome::Misdirected | Outcome::NotSent => {
                Verdict::NotRun
            }
            Outcome::Broken | Outcome::Silent => Verdict::MayHaveRun,
        }
    }
}

/// A request under way.
#[derive(Clone, Debug)]
pub struct Request {
    /// What its caller sent.
    pub arrival: Arrival,
    /// The configuration that was in force when it arrived.
    pub configuration: Arc<Configuration>,
    /// Its route's place in that configuration.
    pub route_index: usize,
    /// The pool that serves it.
    pub pool: PoolName,
    /// The organisation that holds its key.
    pub organisation: Option<OrganisationName>,
    /// Its rank.
    pub priority: u8,
    /// When it arrived.
    pub arrived_ms: u64,
    /// When its caller gives up, or the route's timeout ends it.
    pub give_up_at_ms: u64,
    /// Targets that it was sent to.
    pub tried_targets: Vec<TargetName>,
    /// Attempts that may have run it.
    pub runs: u32,
    /// Attempts in all.
    pub dispatches: u32,
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Where it is now, and what is counted for it there.
    pub placement: Option<(TargetName, Load)>,
    /// Where it is moving, and what is counted for it there.
    pub destination: Option<(TargetName, Load)>,
    /// Whether the retry that its next move counts as has been taken.
    pub has_migration_retry: bool,
    /// Tokens that it has made.
    pub generated_tokens: u64,
}

impl Request {
    /// Returns the memory that it needs now and soon, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.arrival.memory_tokens(self.generated_tokens)
    }

    /// Returns what it adds to the load of a target.
    ///
    /// A prompt counts as unread until the first event; the memory of a run that moves is
    /// not read again.
    pub fn load(&self) -> Load {
        let tokens = self.memory_tokens();
        let is_migratable = self.route().repetition == Repetition::StreamOnce;
        Load {
            runs: 1,
            tokens,
            prefill_tokens: if self.generated_tokens == 0 {
                self.arrival.prompt_tokens
            } else {
                0
            },
            migratable_runs: u32::from(is_migratable),
            migratable_tokens: if is_migratable { tokens } else { 0 },
        }
    }

    /// Returns the route.
    pub fn route(&self) -> &Route {
        &self.configuration.routes[self.route_index]
    }
}
