//! The file that describes a run.

use std::fmt;
use std::path::Path;

use serde::{Deserialize, Serialize};
use toucancleat_core::settings::RoutingPolicy;

/// An experiment: one workload, several arms, several seeds.
///
/// All times are in the engines' time, which runs `time_scale` times as fast as the
/// clock on the wall.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Name of the experiment.
    pub name: String,
    /// Seeds; each is run once for each arm.
    pub seeds: Vec<u64>,
    /// The ways of admission and routing to compare.
    pub arms: Vec<Arm>,
    /// How much faster than real time the engines run.
    #[serde(default = "one")]
    pub time_scale: f64,
    /// Time at the start whose requests aren't measured.
    pub warm_up_ms: u64,
    /// Time after the warm-up in which measured requests arrive.
    pub duration_ms: u64,
    /// Mean arrivals as a share of what the engines can generate.
    pub load_share: f64,
    /// The rush before the live event.
    #[serde(default)]
    pub rush: Option<Rush>,
    /// An engine that dies.
    #[serde(default)]
    pub kill: Option<Kill>,
    /// Entry hosts.
    pub hosts: usize,
    /// Time between a host's reads of an engine's load.
    pub load_interval_ms: u64,
    /// The engines.
    pub engines: Engines,
    /// Bounds that the settings put on an admission.
    #[serde(default)]
    pub bounds: Bounds,
    /// Organisations.
    pub organisations: Vec<Organisation>,
    /// Request kinds.
    pub kinds: Vec<Kind>,
}

/// A way of admission and routing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Arm {
    /// Accounts at each target's home.
    HomeAccounts,
    /// The same accounts with true lengths known, the bound.
    KnownLengths,
    /// Each target in turn.
    RoundRobin,
    /// The target with the fewest requests outstanding from the host.
    LeastOutstanding,
    /// The lesser loaded of two by the last report.
    TwoChoices,
    /// Accounts with each request's full maximum reserved.
    ReserveMaximum,
}

/// The rush before a live event.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rush {
    /// Start, counted from the end of the warm-up.
    pub at_ms: u64,
    /// Duration.
    pub duration_ms: u64,
    /// Arrivals against the time around it.
    pub factor: f64,
}

/// An engine that dies.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kill {
    /// Index of the engine.
    pub engine: usize,
    /// When, counted from the end of the warm-up.
    pub at_ms: u64,
}

/// The stand-in engines of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    /// Number of engines.
    pub count: usize,
    /// Cache memory of one, in tokens.
    pub memory_tokens: u64,
    /// Most sequences that one decodes at once.
    pub max_batch: u32,
    /// Time of a step without sequences.
    pub step_base_ms: f64,
    /// Time that each sequence adds to a step.
    pub step_sequence_ms: f64,
    /// Time that each prompt token adds to a step.
    pub step_prefill_token_ms: f64,
    /// Time that a thousand tokens of memory in use add to a step.
    pub step_1000_context_tokens_ms: f64,
}

/// Bounds that the settings put on an admission.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Highest chance that a batch outgrows its memory.
    pub outgrow_chance_max: f64,
    /// Highest step time after an admission.
    pub step_time_max_ms: f64,
    /// Longest wait for a target.
    pub queue_timeout_ms: u64,
    /// Further attempts after an engine failed before the first token.
    pub retries_max: u32,
    /// Share of attempts that may be retries.
    pub retry_budget_ratio: f64,
}

/// An organisation and its part of the arrivals.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub name: String,
    /// Its part of all arrivals, against the other organisations' parts.
    pub arrivals: f64,
    /// Its weight in the queue.
    #[serde(default = "one")]
    pub weight: f64,
}

/// A request kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its part of all arrivals, against the other kinds' parts.
    pub arrivals: f64,
    /// Shortest prompt.
    pub prompt_min_tokens: u32,
    /// Longest prompt.
    pub prompt_max_tokens: u32,
    /// Part of the prompt that requests of one organisation and kind share.
    #[serde(default)]
    pub shared_prefix_tokens: u32,
    /// Median length of an answer.
    pub output_median_tokens: f64,
    /// Standard deviation of the length's logarithm.
    pub output_sigma: f64,
    /// Most tokens of an answer.
    pub max_output_tokens: u32,
    /// Time from arrival in which the answer must be whole.
    pub deadline_ms: u64,
    /// Priority from the settings.
    #[serde(default = "priority")]
    pub priority: u8,
}

impl Arm {
    /// Returns the routing policy that the arm sets.
    pub fn policy(self) -> RoutingPolicy {
        match self {
            Arm::HomeAccounts | Arm::KnownLengths => RoutingPolicy::HomeAccounts,
            Arm::RoundRobin => RoutingPolicy::RoundRobin,
            Arm::LeastOutstanding => RoutingPolicy::LeastOutstanding,
            Arm::TwoChoices => RoutingPolicy::TwoChoices,
            Arm::ReserveMaximum => RoutingPolicy::ReserveMaximum,
        }
    }

    /// Returns the name in files and tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Arm::HomeAccounts => "home_accounts",
            Arm::KnownLengths => "known_lengths",
            Arm::RoundRobin => "round_robin",
            Arm::LeastOutstanding => "least_outstanding",
            Arm::TwoChoices => "two_choices",
            Arm::ReserveMaximum => "reserve_maximum",
        }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            outgrow_chance_max: 0.05,
            step_time_max_ms: 31.0,
            queue_timeout_ms: 60_000,
            retries_max: 2,
            retry_budget_ratio: 0.1,
        }
    }
}

/// A file that doesn't describe a run.
#[derive(Debug)]
pub struct SpecError(String);

impl fmt::Display for SpecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SpecError {}

impl Spec {
    /// Reads a file of JSON with comments.
    pub fn read(path: &Path) -> Result<Spec, SpecError> {
        let text = std::fs::read_to_string(path)
            .map_err(|err| SpecError(format!("{}: {err}", path.display())))?;
        Spec::parse(&text).map_err(|err| SpecError(format!("{}: {err}", path.display())))
    }

    /// Parses JSON with comments.
    pub fn parse(text: &str) -> Result<Spec, SpecError> {
        let spec: Option<Spec> =
            jsonc_parser::parse_to_serde_value(text, &Default::default())
                .map_err(|err| SpecError(err.to_string()))?;
        let spec = spec.ok_or_else(|| SpecError("expected an object".to_owned()))?;
        spec.check()?;
        Ok(spec)
    }

    fn check(&self) -> Result<(), SpecError> {
        let checks = [
            (!self.seeds.is_empty(), "expected at least one seed"),
            (!self.arms.is_empty(), "expected at least one arm"),
            (self.time_scale > 0.0, "expected time_scale above 0"),
            (self.load_share > 0.0, "expected load_share above 0"),
            (self.hosts > 0, "expected at least one host"),
            (self.engines.count > 0, "expected at least one engine"),
            (!self.organisations.is_empty(), "expected an organisation"),
            (!self.kinds.is_empty(), "expected a kind"),
        ];
        match checks.iter().find(|(holds, _)| !holds) {
            Some((_, message)) => Err(SpecError((*message).to_owned())),
            None => Ok(()),
        }
    }
}

fn one() -> f64 {
    1.0
}

fn priority() -> u8 {
    5
}
