//! A request from its arrival to its final answer, and its attempts.

use std::net::SocketAddr;
use std::sync::Arc;

use toucancleat_core::prelude::*;

use crate::configuration::{Configuration, RetrySafety, Route};
use crate::confinement::Confinement;
use crate::continuation::Continuation;
use crate::peers::Load;
use crate::prompt_part::PartId;
use crate::target::SoftwareVersion;

/// Identifies a request within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// Identifies the content of a request across attempts.
pub type Fingerprint = u64;

/// The parts of a received request that decisions depend on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IncomingRequest {
    /// The id that the caller gave this attempt, for logs.
    pub attempt_id: Arc<str>,
    /// The requested host.
    pub hostname: String,
    /// The requested path.
    pub path: String,
    /// The caller's API key.
    pub api_key: Option<String>,
    /// The id of the attempt that brought the first event of the stream that the caller takes
    /// up again.
    pub resumed_attempt_id: Option<Arc<str>>,
    /// Whether the caller has received events of the stream already.
    pub is_resumption: bool,
    /// Whether a peer without a path to the targets has handed the request off to this host.
    pub is_handed_off: bool,
    /// Identifies the request's content across attempts with different ids.
    pub fingerprint: Fingerprint,
    /// How long the caller waits, in milliseconds.
    pub time_limit_ms: Option<u64>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of tokens that the request may generate.
    pub output_tokens_max: u64,
    /// The caller's estimate of the number of generated tokens.
    pub output_tokens_hint: Option<u64>,
    /// The parts of the prompt that other requests may share; the last part is the request's
    /// own.
    pub shared_parts: Vec<PartId>,
}

/// Tokens that a run may generate before its host has reported them to peers; about what
/// an engine generates in one second.
const LOOKAHEAD_TOKENS: u64 = 130;

impl IncomingRequest {
    /// Returns its whole content as a part, which only repeats of the request share.
    pub fn content(&self) -> PartId {
        PartId(self.fingerprint)
    }

    /// Returns the memory that a run needs now and in the near future, in tokens.
    ///
    /// The length of an answer isn't known and the caller's hint is often far off, so the
    /// estimate uses the tokens generated so far plus a small lookahead.
    pub fn memory_tokens(&self, generated_tokens: u64) -> u64 {
        let end = self.output_tokens_max.max(generated_tokens);
        self.prompt_tokens + (generated_tokens + LOOKAHEAD_TOKENS).min(end)
    }
}

/// An attempt to run a request at a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The request.
    pub request_number: RequestNumber,
    /// The target that may run the request. Any other target at the address declines it.
    pub target: TargetName,
    /// The target's address.
    pub address: SocketAddr,
    /// The organisation that owns the caller's API key.
    pub organisation: Option<OrganisationName>,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// When the caller's deadline or the route's timeout ends the request.
    pub deadline_ms: u64,
    /// When the attempt times out and another target may be tried.
    pub attempt_deadline_ms: u64,
    /// Whether the request may run again.
    pub retry_safety: RetrySafety,
    /// The state that the target was selected by.
    pub inputs: DecisionInputs,
}

/// The state that a target was selected by, for the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DecisionInputs {
    /// Version of the configuration.
    pub configuration_version: u64,
    /// Time since the configuration was confirmed to be the newest.
    pub configuration_age_ms: u64,
    /// Version of the host list.
    pub host_list_version: u64,
    /// Number of this attempt, from 1.
    pub attempt: u32,
    /// Cost of the selected target.
    pub cost: f64,
    /// Version of the selected target's software.
    pub target_version: Option<SoftwareVersion>,
    /// Number of live peers.
    pub live_peers: usize,
    /// Number of targets that limit the rate of requests.
    pub limited_targets: usize,
    /// Number of availability zones that are evacuated.
    pub evacuated_zones: usize,
}

/// Why a request is refused or has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Reason {
    /// No configuration is known yet.
    NoConfiguration,
    /// The configuration may have been replaced, and a key in it revoked.
    StaleConfiguration,
    /// No route matches the host and path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// No target of the pool accepts new work.
    NoTarget,
    /// All targets that could run the request are in evacuated availability zones.
    ZonesEvacuated,
    /// No target of the pool is in the home regions of the route and the organisation.
    NoTargetAtHome,
    /// No target has the version of the software that began the stream.
    VersionGone,
    /// No host knows which version of the software began the stream.
    UnknownStream,
    /// Targets declined the request.
    TargetsFull,
    /// All targets limit the rate of requests or want none for a time, and this host has no
    /// permit.
    TargetsLimited,
    /// The host is stopping and could not finish the request.
    Stopping,
    /// No target could be reached.
    Unreachable,
    /// A target failed, and the request may have run.
    TargetFailed,
    /// No answer arrived in time, and the request may have run.
    TimedOut,
    /// The deadline passed before the request was sent to any target.
    TooLate,
    /// The request is a poison request: its runs at several targets were interrupted.
    CrashesTargets,
}

impl Reason {
    /// Returns the name of the reason in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::NoConfiguration => "no_configuration",
            Reason::StaleConfiguration => "stale_configuration",
            Reason::NoRoute => "no_route",
            Reason::UnknownKey => "unknown_key",
            Reason::NoTarget => "no_target",
            Reason::ZonesEvacuated => "zones_evacuated",
            Reason::NoTargetAtHome => "no_target_at_home",
            Reason::VersionGone => "version_gone",
            Reason::UnknownStream => "unknown_stream",
            Reason::TargetsFull => "targets_full",
            Reason::TargetsLimited => "targets_limited",
            Reason::Stopping => "stopping",
            Reason::Unreachable => "unreachable",
            Reason::TargetFailed => "target_failed",
            Reason::TimedOut => "timed_out",
            Reason::TooLate => "too_late",
            Reason::CrashesTargets => "crashes_targets",
        }
    }
}

/// The outcome of a request that ends without a target's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: Reason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Delay after which the caller may retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// A request that is handed off to a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Handoff {
    /// The request.
    pub request_number: RequestNumber,
    /// The peer.
    pub host: HostName,
    /// The address at which the peer takes requests of its peers.
    pub address: SocketAddr,
    /// When the caller's deadline or the route's timeout ends the request.
    pub deadline_ms: u64,
}

/// How the handoff of a request to a peer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoffOutcome {
    /// The peer answered, or relayed the complete stream.
    Answered,
    /// The peer refused the request, which has not run.
    Refused,
    /// No byte of the request reached the peer.
    NotSent,
    /// The connection was interrupted, or the response was malformed.
    Interrupted,
    /// No answer arrived in time.
    TimedOut,
}

impl HandoffOutcome {
    /// Returns whether the request may have run.
    pub fn verdict(self) -> Verdict {
        match self {
            HandoffOutcome::Answered => Verdict::Ran,
            HandoffOutcome::Refused | HandoffOutcome::NotSent => Verdict::NotRun,
            HandoffOutcome::Interrupted | HandoffOutcome::TimedOut => Verdict::MayHaveRun,
        }
    }
}

/// How an attempt at one target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The answer was complete.
    Answered {
        /// Time to the answer, or to the first event of a stream.
        took_ms: u64,
    },
    /// The target answered with an error that may be forwarded to the caller.
    ErrorAnswer,
    /// The target answered that it has not run the request.
    Declined,
    /// Another target now has the address; it has not run the request.
    Misdirected,
    /// No byte of the request reached a target.
    NotSent,
    /// The connection was interrupted, or the response was malformed.
    Interrupted,
    /// No answer arrived in time.
    TimedOut,
}

impl AttemptOutcome {
    /// Returns whether the request may have run at the target.
    pub fn verdict(self) -> Verdict {
        match self {
            AttemptOutcome::Answered { .. } | AttemptOutcome::ErrorAnswer => Verdict::Ran,
            AttemptOutcome::Declined
            | AttemptOutcome::Misdirected
            | AttemptOutcome::NotSent => Verdict::NotRun,
            AttemptOutcome::Interrupted | AttemptOutcome::TimedOut => Verdict::MayHaveRun,
        }
    }
}

/// Why a run that should migrate has no destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum MigrationObstacle {
    /// No target takes it.
    NoTarget,
    /// A migration counts as a retry, and the budget has none left.
    RetryBudget,
    /// Targets crash under it.
    CrashesTargets,
}

impl MigrationObstacle {
    /// Returns the name of the cause in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            MigrationObstacle::NoTarget => "no_target",
            MigrationObstacle::RetryBudget => "retry_budget",
            MigrationObstacle::CrashesTargets => "crashes_targets",
        }
    }
}

/// A request in progress.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request as received.
    pub incoming: IncomingRequest,
    /// The configuration that was in force when it arrived.
    pub configuration: Arc<Configuration>,
    /// Index of its route in that configuration.
    pub route_index: usize,
    /// Whether its route or organisation has home regions, and the deployment has regions.
    pub has_confining_regions: bool,
    /// The pool that serves it.
    pub pool: PoolName,
    /// The organisation that owns its API key.
    pub organisation: Option<OrganisationName>,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// When it arrived.
    pub arrived_ms: u64,
    /// When the caller's deadline or the route's timeout ends it.
    pub deadline_ms: u64,
    /// Targets that it was sent to.
    pub tried_targets: Vec<TargetName>,
    /// Peers that it was handed off to.
    pub tried_hosts: Vec<HostName>,
    /// When it was last sent to a target.
    pub dispatched_ms: u64,
    /// Prompt tokens that its target had to prefill then, its own included.
    pub prefill_at_dispatch: u64,
    /// Number of attempts that may have run it.
    pub runs: u32,
    /// Number of all attempts.
    pub attempts: u32,
    /// Whether it may have run.
    pub verdict: Verdict,
    /// The target that runs it, and the load that is counted for it there.
    pub placement: Option<(TargetName, Load)>,
    /// When it was sent there, or its run had migrated there.
    pub placed_ms: u64,
    /// When that target had started then, in Unix time.
    pub target_started_unix_ms: Option<u64>,
    /// Version of that target's software.
    pub running_version: Option<SoftwareVersion>,
    /// When the first event of that target was received.
    pub answering_since_ms: Option<u64>,
    /// Where it may continue, if it is a stream.
    pub continuation: Continuation,
    /// The target that it is migrating to, and the load that is counted for it there.
    pub destination: Option<(TargetName, Load)>,
    /// Whether the retry that its next migration counts as has been taken.
    pub has_migration_retry: bool,
    /// Why it has no destination, as last logged.
    pub migration_obstacle: Option<MigrationObstacle>,
    /// Whether its attempt is a trial of refused parts of prompts.
    pub is_trial: bool,
    /// Number of tokens generated so far.
    pub generated_tokens: u64,
}

impl Request {
    /// Returns the memory that it needs now and in the near future, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.incoming.memory_tokens(self.generated_tokens)
    }

    /// Returns the load that it adds to a target.
    ///
    /// The prompt counts as pending until the first event. A migrated run isn't prefilled
    /// again, since its memory is copied.
    pub fn load(&self) -> Load {
        let tokens = self.memory_tokens();
        let is_migratable = self.route().retry_safety == RetrySafety::AtMostOnceStream;
        Load {
            runs: 1,
            tokens,
            prefill_tokens: if self.generated_tokens == 0 {
                self.incoming.prompt_tokens
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

    /// Returns the regions to which it is confined.
    pub fn confinement(&self) -> Confinement<'_> {
        let api_key = self.incoming.api_key.as_deref();
        Confinement::new(&self.configuration, self.route(), api_key)
    }
}
