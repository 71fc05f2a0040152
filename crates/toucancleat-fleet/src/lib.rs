//! Decisions of entry hosts on a platform that stores the configuration and the host
//! list.
//!
//! A single reducer, [`reduce`], takes every event of a host and returns effects as data.
//! It has no I/O, clock or threads, so each decision can be replayed in a test. The
//! daemon `toucancleat-gateway` runs the same reducer.
//!
//! # Guarantees
//!
//! - A request that isn't idempotent is sent again only on proof that it has not run
//!   ([`Verdict`](toucancleat_core::verdict::Verdict)).
//! - A target that is known to be leaving gets no new work, whichever host received the
//!   notice.
//! - API keys are trusted only while the configuration is known to be recent.
//! - The retries of the whole fleet stay within one bound, also between hosts that can't
//!   reach each other, and over restarts of hosts ([`budget`]).
//! - The requests of the whole fleet to a target that limits them stay within its limit
//!   ([`rate_limit`]).
//! - Targets that fall over if they turn requests away get no more than they run at once
//!   ([`brittle_targets`]).
//! - A stream continues only at the version of the targets' software that began it, at whichever
//!   host its caller takes it up again ([`continuation`], [`stream_origin`]).
//! - A host that has lost its path to the targets hands its requests off to peers that have one
//!   ([`pool_path`]).
//! - Requests that share a poison part of their prompts, which crashes every target that
//!   answers it, are refused by all hosts, and so are repeats of a poison request
//!   ([`poison_parts`]).
//!
//! # Cost
//!
//! A decision examines each target of one pool and the last message of each host, so its
//! cost grows with both; docs/CAPACITY.md has the figures. Each host sends every other host a datagram at an interval that
//! grows with the fleet ([`peers`]). One host reads the platform's store on behalf of all
//! ([`store`]).
//!
//! See docs/design/platform.md for the design.

pub mod brittle_targets;
pub mod budget;
pub mod claim;
pub mod cold_targets;
pub mod config;
pub mod configuration;
pub mod configuration_change;
pub mod confinement;
pub mod contention;
pub mod continuation;
pub mod departures;
pub mod evacuation;
pub mod event;
pub mod event_stream;
pub mod health;
pub mod host_ring;
pub mod lapsed_entries;
pub mod load;
pub mod migration;
pub mod migration_plan;
pub mod organisation_share;
pub mod peers;
pub mod poison_parts;
pub mod poison_verdict;
pub mod pool_path;
pub mod prelude;
pub mod prompt_part;
pub mod rate_limit;
mod reduce;
pub mod request;
pub mod selection;
pub mod sender_ring;
pub mod service_rate;
pub mod sole_origin;
pub mod state;
pub mod store;
pub mod stream_origin;
pub mod target;
pub mod target_notice;
pub mod target_watch;

pub use crate::reduce::reduce;
