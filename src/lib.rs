//! A serving system for generations of unknown length on crowded engines.
//!
//! This crate re-exports the decisions of `toucancleat-core` and introduces how the system
//! works. Most deployments need no code, only the daemon `toucancleat-entry` and the operators'
//! command `toucancleat`. Use the library to embed an entry host, to test an integration
//! against the stand-ins, or to run the reducer in a tool.
//!
//! # Decisions without I/O
//!
//! Every decision is made in one reducer: it takes a state and an event, updates the state and
//! appends effects, which are data. A host that has just started requests only the platform's host
//! list.
//!
//! ```
//! use toucancleat::core::{Effect, Event, Identity, State, reduce};
//! use toucancleat::prelude::*;
//!
//! let mut state = State::new(Identity {
//!     host: HostName::new("entry-1"),
//!     zone: ZoneName::new("upp-a"),
//!     peers_address: "127.0.0.1:7001".parse()?,
//!     incarnation: Incarnation(1),
//!     seed: 7,
//! });
//! let mut effects = Vec::new();
//! reduce(&mut state, 1_000, Event::Tick, &mut effects);
//! assert!(effects.iter().any(|effect| matches!(effect, Effect::ListHosts)));
//! # Ok::<(), std::net::AddrParseError>(())
//! ```
//!
//! # Verdicts
//!
//! A refusal or failure carries a verdict on whether the request may have run. A request that
//! isn't idempotent is only attempted again if it provably hasn't run:
//!
//! ```
//! use toucancleat::prelude::*;
//!
//! let idempotent = false;
//! assert!(Verdict::NotRun.permits_retry(idempotent));
//! assert!(!Verdict::MayHaveRun.permits_retry(idempotent));
//! ```
//!
//! # Guarantees
//!
//! Each token is delivered once, in order and from one generation. A request that isn't
//! idempotent runs at most once. A request with the verdict "not run" has not run. An accepted
//! change of the settings never reverts. docs/PROOFS.md describes how each guarantee is
//! proved, within which bounds, and what is not proved.
//!
//! # Cost
//!
//! The cost of a decision arises once per request, not per token. docs/MEASURED.md has the
//! measurements with their commands, docs/CAPACITY.md their meaning at the target size.
//!
//! # When not to use it
//!
//! For short requests of similar cost, a plain load balancer is enough. Without an equivalent
//! of the platform's transactional table, at most one run of a request that isn't idempotent
//! can't be guaranteed. If links between hosts aren't trusted, put the hosts into a private
//! network: peers and callers connect without TLS.

pub use toucancleat_core as core;

/// The types that most users of the library need.
pub mod prelude {
    pub use toucancleat_core::prelude::*;
    pub use toucancleat_core::refusal::{Problem, Refusal};
}
