//! TCP proxy that injects link faults.

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
use crate::server::{ServerThread, StopSignal};

/// A TCP proxy that injects link faults on demand, and stops when this is dropped.
///
/// It is independent of the protocol of the connections, so that the same faults apply to
/// callers, targets, the platform and the links between entry hosts. The one exception is
/// [`CutReply::posts_only`].
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    control: ServerThread,
    shared: Arc<Shared>,
}

impl FaultProxy {
    /// Binds and starts a proxy.
    ///
    /// Returns an error if an address can't be bound or the thread can't be started.
    pub async fn start(config: FaultProxyConfig) -> io::Result<FaultProxy> {
        let reserved = listener::ReservedPort::bind(config.bind)?;
        let address = reserved.address();
        let shared = Arc::new(Shared::new(config.upstream));
        let routed = Arc::clone(&shared);
        let control =
            ServerThread::start(config.bind_control, StopSignal::new(), move || {
                tokio::spawn(listener::run(Arc::clone(&routed), reserved));
                routes::router(&routed)
            })?;
        let proxy = FaultProxy {
            address,
            control,
            shared,
        };
        proxy.wait_until_listening(true).await;
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

    /// Waits until the proxy has stopped.
    pub async fn wait_until_stopped(&self) {
        self.control.wait_until_stopped().await;
    }

    /// Forwards new connections to another upstream.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.shared.state().upstream = upstream;
    }

    /// Waits until the proxy accepts new connections if `is_listening` is true, or until
    /// it refuses them otherwise.
    pub async fn wait_until_listening(&self, is_listening: bool) {
        let mut state = self.shared.listening.subscribe();
        // `self` holds the sender, so the wait can't fail.
        let _ = state.wait_for(|state| *state == is_listening).await;
    }

    /// Updates the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut ProxyFaults)) {
        self.shared.faults.send_modify(change);
    }

    /// Resets all open connections.
    pub fn reset_connections(&self) {
        self.shared.cut();
    }

    /// Shuts down one direction of all open connections in an orderly way.
    pub fn half_close(&self, direction: Direction) {
        self.shared.half_closes.send_replace(Some(direction));
    }

    /// Returns the counts of connections, bytes and cuts.
    pub fn records(&self) -> ProxyRecords {
        self.shared.state().records.clone()
    }
}

/// Addresses of a proxy.
#[derive(Clone, Debug)]
pub struct FaultProxyConfig {
    /// Address to bind; port 0 selects a free port.
    pub bind: SocketAddr,
    /// Address to bind for the control port.
    pub bind_control: SocketAddr,
    /// Address to forward to.
    pub upstream: SocketAddr,
}

impl FaultProxyConfig {
    /// Returns a configuration that forwards from free loopback ports to an upstream.
    pub fn new(upstream: SocketAddr) -> FaultProxyConfig {
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        FaultProxyConfig {
            bind: free,
            bind_control: free,
            upstream,
        }
    }
}

/// Counts of what passed a proxy since its start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ProxyRecords {
    /// Number of connections accepted.
    pub connections: u64,
    /// Number of connections that are open.
    pub open_connections: u64,
    /// Number of bytes forwarded to the upstream.
    pub to_upstream_bytes: u64,
    /// Number of bytes forwarded to the client.
    pub to_client_bytes: u64,
    /// Number of bytes discarded by the `discard` fault.
    pub discarded_bytes: u64,
    /// Number of times that all open connections were reset.
    pub cuts: u64,
    /// Number of replies that were cut.
    pub cut_replies: u64,
}

/// State that the proxy's handle, control routes and connections share.
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

    fn count_bytes(&self, direction: Direction, bytes: usize) {
        let records = &mut self.state().records;
        match direction {
            Direction::ToUpstream => records.to_upstream_bytes += bytes as u64,
            Direction::ToClient => records.to_client_bytes += bytes as u64,
        }
    }

    /// Counts a cut as used, if one is due, and returns the number of bytes of the reply
    /// that are still forwarded.
    fn take_cut_reply(&self, has_post_request: bool) -> Option<u64> {
        let mut after_bytes = None;
        self.faults.send_if_modified(|faults| {
            let Some(cut) = &mut faults.cut_reply else {
                return false;
            };
            if cut.times == 0 || (cut.posts_only && !has_post_request) {
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
