//! Stand-ins of the platform, engines and services for tests, and a fault proxy.
//!
//! Each stand-in speaks the protocol of docs/PROTOCOLS.md over real sockets, takes faults
//! on demand and records what reached it, so that a test can compare what callers were
//! told with what really happened. Each runs on a thread of its own: stopping one ends
//! its sockets at once, as the death of a process would. See docs/STANDINS.md.

mod clock;
mod engine;
mod faults;
mod fingerprint;
mod platform;
mod proxy;
mod reply;
mod server;
mod service;

pub use crate::engine::model;
pub use crate::engine::{
    AtToken, Engine, EngineConfig, EngineFaults, EngineRecords, GenerationRecord,
    GenerationState, Nonsense, NonsenseKind, OrderRecord,
};
pub use crate::fingerprint::fingerprint;
pub use crate::platform::{
    Platform, PlatformConfig, PlatformFaults, PlatformRecords, TransactionOutcome,
    TransactionRecord,
};
pub use crate::proxy::{
    CutReply, Direction, FaultProxy, FaultProxyConfig, LinkFaults, ProxyFaults,
    ProxyRecords,
};
pub use crate::service::{
    RunRecord, Service, ServiceConfig, ServiceFaults, ServiceRecords,
};
