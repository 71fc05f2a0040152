//! The values that a level may override, and their resolved form.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

macro_rules! values {
    ($($(#[doc = $doc:literal])* $name:ident: $type:ty = $default:expr,)*) => {
        /// The values that one level sets; `None` inherits from the level above.
        #[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct Values {
            $($(#[doc = $doc])* #[serde(skip_serializing_if = "Option::is_none")] pub $name: Option<$type>,)*
        }

        /// The values in force for one live event, organisation and request kind.
        #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
        pub struct Effective {
            $($(#[doc = $doc])* pub $name: $type,)*
        }

        impl Values {
            /// The name of each value, in the order of the documentation.
            pub const NAMES: &'static [&'static str] = &[$(stringify!($name)),*];

            /// What each value means, in the order of [`Values::NAMES`].
            pub const MEANINGS: &'static [&'static str] = &[$(concat!($($doc),*)),*];

            /// Returns the names of the values that are set.
            pub fn set_names(&self) -> impl Iterator<Item = &'static str> {
                let set = [$(self.$name.is_some()),*];
                Self::NAMES.iter().zip(set).filter(|(_, set)| *set).map(|(name, _)| *name)
            }

            /// Overrides each value that `lower` sets.
            pub fn overlay(&mut self, lower: &Values) {
                $(if let Some(value) = &lower.$name { self.$name = Some(value.clone()); })*
            }
        }

        impl Default for Effective {
            fn default() -> Self {
                Effective { $($name: $default,)* }
            }
        }

        impl From<&Values> for Effective {
            /// Uses the built-in default for each value that no level sets.
            fn from(values: &Values) -> Self {
                let default = Effective::default();
                Effective {
                    $($name: values.$name.clone().unwrap_or(default.$name),)*
                }
            }
        }
    };
}

values! {
    /// Pool whose targets serve the kind.
    pool: PoolName = PoolName::new(""),
    /// Whether running a request twice does no harm.
    idempotent: bool = true,
    /// Whether the targets of the pool themselves deduplicate idempotency keys.
    target_deduplicates: bool = false,
    /// How an answer goes to the caller.
    delivery: Delivery = Delivery::Stream,
    /// Longest time from acceptance to the end of the answer.
    timeout_ms: u64 = 600_000,
    /// Longest time from acceptance to the first token or byte.
    first_token_timeout_ms: u64 = 30_000,
    /// Longest silence of a target within a stream.
    stall_timeout_ms: u64 = 10_000,
    /// Most tokens that one answer may have.
    max_output_tokens: u32 = 32_768,
    /// Largest request body.
    max_body_bytes: u64 = 1_048_576,
    /// Largest answer that `whole` delivery buffers.
    max_answer_bytes: u64 = 4_194_304,
    /// Requests a second for the organisation over all entry hosts.
    requests_per_second: f64 = 100.0,
    /// Requests in progress at once for the organisation over all entry hosts.
    concurrent_requests: u32 = 1_000,
    /// Further attempts after the first, where the verdict permits them.
    retries_max: u32 = 2,
    /// Share of attempts that may be retries, over all requests to a pool.
    retry_budget_ratio: f64 = 0.1,
    /// Priority towards the engine, 0 (preempted first) to 9.
    priority: u8 = 5,
    /// The organisation's weight in the queue for a crowded pool.
    share_weight: f64 = 1.0,
    /// Weight of stall time in the choice of a target.
    weight_stall_time: f64 = 1.0,
    /// Weight of preemptions in the choice of a target.
    weight_preemptions: f64 = 1.0,
    /// Weight of tail latency between tokens in the choice of a target.
    weight_tail_latency: f64 = 1.0,
    /// Highest chance that a target's batch outgrows its memory after an admission.
    outgrow_chance_max: f64 = 0.05,
    /// Highest step time that an admission may cause at a target.
    step_time_max_ms: f64 = 31.0,
    /// Longest time a request waits in the queue for a target.
    queue_timeout_ms: u64 = 20_000,
    /// How targets are chosen; all but `home_accounts` are baselines.
    routing_policy: RoutingPolicy = RoutingPolicy::HomeAccounts,
    /// How long an idempotency key is kept after the end of the live event.
    key_retention_ms: u64 = 86_400_000,
}

/// How an answer goes to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Delivery {
    /// Token by token, as the target generates.
    Stream,
    /// Buffered to its end within a bound, so that another run stays hidden.
    Whole,
}

/// How a target is chosen for a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum RoutingPolicy {
    /// Accounts kept at each target's home, admission by the chance of outgrowing memory.
    HomeAccounts,
    /// Each target in turn.
    RoundRobin,
    /// The target with the fewest requests outstanding from this host.
    LeastOutstanding,
    /// The lesser loaded of two random targets by the last load report.
    TwoChoices,
    /// Accounts at the home, with each request's full maximum reserved.
    ReserveMaximum,
}
