//! The file that describes an experiment.

use std::fmt;
use std::path::Path;

use serde::{Deserialize, Serialize};
use toucancleat_core::settings::RoutingPolicy;

/// An experiment: one workload, several arms, several seeds.
///
/// All times are in engine time, which runs `time_scale` times as fast as real time.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Name of the experiment.
    pub name: String,
    /// Seeds of the arrivals. Every arm runs once on each.
    pub seeds: Vec<u64>,
    /// Ways of admission and routing to compare.
    pub arms: Vec<Arm>,
    /// Ratio of engine time to real time.
    #[serde(default = "one")]
    pub time_scale: f64,
    /// Duration of the warm-up at the start, whose requests aren't measured.
    pub warm_up_ms: u64,
    /// Duration after the warm-up in which measured requests arrive.
    pub duration_ms: u64,
    /// Mean arrival rate, as a share of the engines' capacity.
    pub load_share: f64,
    /// Rush before a live event.
    #[serde(default)]
    pub rush: Option<Rush>,
    /// Engine to kill during the run.
    #[serde(default)]
    pub kill: Option<Kill>,
    /// Number of entry hosts.
    pub hosts: usize,
    /// Time between two reads of an engine's load.
    pub load_interval_ms: u64,
    /// Stand-in engines.
    pub engines: Engines,
    /// Bounds that the settings place on an admission.
    #[serde(default)]
    pub bounds: Bounds,
    /// Organisations that send requests.
    pub organisations: Vec<Organisation>,
    /// Kinds of requests.
    pub kinds: Vec<Kind>,
}

/// A way of admission and routing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Arm {
    /// Admission by the account that each target's home keeps.
    HomeAccounts,
    /// The same accounts with the true length of each answer known. It is the upper
    /// bound for better forecasts of lengths.
    KnownLengths,
    /// The targets in rotation.
    RoundRobin,
    /// The target with the fewest outstanding requests from the host.
    LeastOutstanding,
    /// The less loaded of two random targets, by their last load reports.
    TwoChoices,
    /// Accounts that reserve each request's maximum length.
    ReserveMaximum,
}

/// A period of more arrivals, as before a live event.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rush {
    /// Start, counted from the end of the warm-up.
    pub at_ms: u64,
    /// Duration of the rush.
    pub duration_ms: u64,
    /// Ratio of the arrival rate during the rush to the rate outside it.
    pub factor: f64,
}

/// An engine that is killed during the run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kill {
    /// Index of the engine to kill.
    pub engine: usize,
    /// Time of the kill, counted from the end of the warm-up.
    pub at_ms: u64,
}

/// The stand-in engines of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    /// Number of engines.
    pub count: usize,
    /// Cache memory of each engine, in tokens.
    pub memory_tokens: u64,
    /// Maximum number of sequences that an engine decodes at once.
    pub max_batch: u32,
    /// Duration of a step without sequences.
    pub step_base_ms: f64,
    /// Time that each sequence adds to a step.
    pub step_sequence_ms: f64,
    /// Time that each prompt token adds to a step.
    pub step_prefill_token_ms: f64,
    /// Time that each thousand tokens of memory in use add to a step.
    pub step_1000_context_tokens_ms: f64,
}

/// Bounds that the settings place on an admission.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Maximum probability that a batch outgrows its memory.
    pub outgrow_chance_max: f64,
    /// Maximum step time after an admission.
    pub step_time_max_ms: f64,
    /// Longest wait for a target.
    pub queue_timeout_ms: u64,
    /// Maximum number of further attempts after one that failed before its first token.
    pub retries_max: u32,
    /// Maximum share of attempts that are retries.
    pub retry_budget_ratio: f64,
}

/// An organisation and its share of the arrivals.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name in requests and reports.
    pub name: String,
    /// Weight of the organisation in the draw of arrivals, relative to the others'.
    pub arrivals: f64,
    /// Weight of the organisation in the fair queue.
    #[serde(default = "one")]
    pub weight: f64,
}

/// A kind of requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name in requests and reports.
    pub name: String,
    /// Weight of the kind in the draw of arrivals, relative to the others'.
    pub arrivals: f64,
    /// Minimum length of a prompt.
    pub prompt_min_tokens: u32,
    /// Maximum length of a prompt.
    pub prompt_max_tokens: u32,
    /// Length of the prefix that the prompts of one organisation and kind share.
    #[serde(default)]
    pub shared_prefix_tokens: u32,
    /// Median length of an answer.
    pub output_median_tokens: f64,
    /// Standard deviation of the logarithm of an answer's length.
    pub output_sigma: f64,
    /// Maximum length of an answer.
    pub max_output_tokens: u32,
    /// Time from the arrival within which the answer must be complete.
    pub deadline_ms: u64,
    /// Priority that the settings give the kind.
    #[serde(default = "priority")]
    pub priority: u8,
}

impl Arm {
    /// Returns the routing policy of the arm.
    pub fn policy(self) -> RoutingPolicy {
        match self {
            Arm::HomeAccounts | Arm::KnownLengths => RoutingPolicy::HomeAccounts,
            Arm::RoundRobin => RoutingPolicy::RoundRobin,
            Arm::LeastOutstanding => RoutingPolicy::LeastOutstanding,
            Arm::TwoChoices => RoutingPolicy::TwoChoices,
            Arm::ReserveMaximum => RoutingPolicy::ReserveMaximum,
        }
    }

    /// Returns the arm's name in spec files and tables.
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

/// An invalid experiment spec, with the reason.
#[derive(Debug)]
pub struct SpecError(String);

impl fmt::Display for SpecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SpecError {}

impl Spec {
    /// Reads a spec from a file of JSON with comments.
    pub fn read(path: &Path) -> Result<Spec, SpecError> {
        let text = std::fs::read_to_string(path)
            .map_err(|err| SpecError(format!("{}: {err}", path.display())))?;
        Spec::parse(&text).map_err(|err| SpecError(format!("{}: {err}", path.display())))
    }

    /// Parses a spec from JSON with comments and validates it.
    pub fn parse(text: &str) -> Result<Spec, SpecError> {
        let spec: Option<Spec> =
            jsonc_parser::parse_to_serde_value(text, &Default::default())
                .map_err(|err| SpecError(err.to_string()))?;
        let spec = spec.ok_or_else(|| SpecError("expected an object".to_owned()))?;
        spec.validate()?;
        Ok(spec)
    }

    fn validate(&self) -> Result<(), SpecError> {
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
        match checks.iter().find(|(is_valid, _)| !is_valid) {
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
