//! Stand-ins for the platform, engines and services, and a TCP fault proxy, for tests.
//!
//! Each stand-in serves the protocol of docs/PROTOCOLS.md over real sockets, injects
//! faults on demand and records the requests that reached it, so that a test can compare
//! the replies that callers received with what was executed. Each runs on a thread of its
//! own: stopping one closes its sockets at once, as a crash of its process would. See
//! docs/STANDINS.md.

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
    Engine, EngineConfig, EngineFaults, EngineRecords, GenerationRecord, GenerationState,
    InvalidEvent, InvalidEventKind, OrderRecord, StreamCut,
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
