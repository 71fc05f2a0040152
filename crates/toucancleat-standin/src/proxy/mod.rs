//! The TCP fault proxy.

mod faults;
mod link;
mod listener;
mod routes;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::Serialize;
use tokio::sync::watch;

pub use self::faults::{CutReply, Direction, LinkFaults, ProxyFaults};
use crate::server::{ServerThread, Stop};

/// A TCP proxy that breaks its links on demand, which ends when this is dropped.
///
/// It knows nothing of the bytes it forwards, so that the same faults apply to callers,
/// targets, the platform and the links between entry hosts.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    control: ServerThread,
    shared: Arc<Shared>,
}

impl FaultProxy {
    /// Binds and starts a proxy.
    pub async fn start(config: FaultProxyConfig) -> io::Result<FaultProxy> {
        let reserved = listener::Reserved::bind(config.bind)?;
        let address = reserved.address();
        let shared = Arc::new(Shared::new(config.upstream));
        let routed = Arc::clone(&shared);
        let control = ServerThread::start(config.bind_control, Stop::new(), move || {
            tokio::spawn(listener::run(Arc::clone(&routed), reserved));
            routes::router(&routed)
        })?;
        let proxy = FaultProxy {
            address,
            control,
            shared,
        };
        proxy.listening(true).await;
        Ok(proxy)
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the control port.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Waits until the proxy has ended.
    pub async fn stopped(&self) {
        self.control.stopped().await;
    }

    /// Sends new connections to another upstream.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.shared.state().upstream = upstream;
    }

    /// Waits until the proxy takes new connections, or until it refuses them.
    pub async fn listening(&self, listening: bool) {
        let mut state = self.shared.listening.subscribe();
        // The sender lives in `self`, so the wait can't fail.
        let _ = state.wait_for(|state| *state == listening).await;
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut ProxyFaults)) {
        self.shared.faults.send_modify(change);
    }

    /// Resets all open connections.
    pub fn cut(&self) {
        self.shared.cut();
    }

    /// Ends one direction of all open connections regularly.
    pub fn half_close(&self, direction: Direction) {
        self.shared.half_closes.send_replace(Some(direction));
    }

    /// Returns what passed the proxy.
    pub fn records(&self) -> ProxyRecords {
        self.shared.state().records.clone()
    }
}

/// Where a proxy listens and forwards to.
#[derive(Clone, Debug)]
pub struct FaultProxyConfig {
    /// The address to bind; port 0 takes a free port.
    pub bind: SocketAddr,
    /// The address to bind for the control port.
    pub bind_control: SocketAddr,
    /// The address to forward to.
    pub upstream: SocketAddr,
}

impl FaultProxyConfig {
    /// Forwards from free loopback ports to an upstream.
    pub fn new(upstream: SocketAddr) -> FaultProxyConfig {
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        FaultProxyConfig {
            bind: free,
            bind_control: free,
            upstream,
        }
    }
}

/// What passed a proxy since its start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ProxyRecords {
    /// Connections accepted.
    pub connections: u64,
    /// Connections that are open now.
    pub open_connections: u64,
    /// Bytes that went to the upstream.
    pub to_upstream_bytes: u64,
    /// Bytes that went to the client.
    pub to_client_bytes: u64,
    /// Bytes that were taken and lost.
    pub discarded_bytes: u64,
    /// Times that all connections were reset.
    pub cuts: u64,
    /// Replies that were cut.
    pub cut_replies: u64,
}

#[derive(Debug)]
struct Shared {
    faults: watch::Sender<ProxyFaults>,
    listening: watch::Sender<bool>,
    cuts: watch::Sender<u64>,
    half_closes: watch::Sender<Option<Direction>>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    upstream: SocketAddr,
    records: ProxyRecords,
}

impl Shared {
    fn new(upstream: SocketAddr) -> Shared {
        Shared {
            faults: watch::Sender::default(),
            listening: watch::Sender::default(),
            cuts: watch::Sender::default(),
            half_closes: watch::Sender::default(),
            state: Mutex::new(State {
                upstream,
                records: ProxyRecords::default(),
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn upstream(&self) -> SocketAddr {
        self.state().upstream
    }

    fn faults(&self) -> ProxyFaults {
        self.faults.borrow().clone()
    }

    fn cut(&self) {
        self.state().records.cuts += 1;
        self.cuts.send_modify(|cuts| *cuts += 1);
    }

    fn count(&self, direction: Direction, bytes: usize) {
        let records = &mut self.state().records;
        match direction {
            Direction::ToUpstream => records.to_upstream_bytes += bytes as u64,
            Direction::ToClient => records.to_client_bytes += bytes as u64,
        }
    }

    /// Uses up one cut reply, and returns the bytes that it lets through.
    fn take_cut_reply(&self, has_posted: bool) -> Option<u64> {
        let mut after_bytes = None;
        self.faults.send_if_modified(|faults| {
            let Some(cut) = &mut faults.cut_reply else {
                return false;
            };
            if cut.times == 0 || (cut.posts_only && !has_posted) {
                return false;
            }
            cut.times -= 1;
            after_bytes = Some(cut.after_bytes);
            true
        });
        if after_bytes.is_some() {
            self.state().records.cut_replies += 1;
        }
        after_bytes
    }
}
