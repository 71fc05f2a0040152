//! The state that the tasks of one entry host share.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, RwLock};

use sha2::{Digest, Sha256};
use tokio::sync::{Notify, mpsc, oneshot};
use toucancleat_core::State;
use toucancleat_core::generation::CursorKeys;
use toucancleat_core::settings::SettingsInForce;

use crate::clock::Clock;
use crate::config::Config;
use crate::driver::Input;
use crate::http::HttpClient;
use crate::metrics::Metrics;
use crate::platform::PlatformClient;

/// The shared part of an entry host.
///
/// No decision is made here: only the driver's task owns the reducer's state. The other
/// tasks send events to it and receive commands from it.
#[derive(Debug)]
pub struct Host {
    /// The configuration of the process.
    pub config: Config,
    /// The host's clock.
    pub clock: Clock,
    /// Client for calls that may be repeated.
    pub pooled: HttpClient,
    /// Client for calls that must reach a target at most once.
    pub unpooled: HttpClient,
    /// Client of the platform.
    pub platform: PlatformClient,
    /// The keys under which cursors are sealed.
    pub cursor_keys: CursorKeys,
    /// Counters and histograms.
    pub metrics: Metrics,
    inputs: mpsc::UnboundedSender<Input>,
    settings: RwLock<Option<Arc<SettingsInForce>>>,
    draining: AtomicBool,
    limits_settled: AtomicBool,
    in_progress: AtomicUsize,
    idle: Notify,
}

/// Counts one request in progress until it is dropped.
#[derive(Debug)]
pub struct InProgress(Arc<Host>);

impl Host {
    /// Creates the shared part; `inputs` is the channel to the driver.
    pub fn new(config: Config, inputs: mpsc::UnboundedSender<Input>) -> Self {
        Host {
            clock: Clock::start(),
            pooled: HttpClient::pooled(),
            unpooled: HttpClient::unpooled(),
            platform: PlatformClient::new(config.platform_address),
            cursor_keys: cursor_keys(&config.cursor_key),
            metrics: Metrics::default(),
            config,
            inputs,
            settings: RwLock::new(None),
            draining: AtomicBool::new(false),
            limits_settled: AtomicBool::new(false),
            in_progress: AtomicUsize::new(0),
            idle: Notify::new(),
        }
    }

    /// Sends an input to the driver.
    pub fn notify_driver(&self, input: Input) {
        // N.B. the driver outlives every other task, so this fails only while the process
        // is exiting and the input no longer matters.
        let _ = self.inputs.send(input);
    }

    /// Runs a function on the reducer's state, in the driver's task.
    ///
    /// Returns `None` if the process is exiting.
    pub async fn inspect<T, F>(&self, read: F) -> Option<T>
    where
        T: Send + 'static,
        F: FnOnce(&State) -> T + Send + 'static,
    {
        let (sender, receiver) = oneshot::channel();
        self.notify_driver(Input::Inspect(Box::new(move |state| {
            // The waiting task may have been dropped meanwhile.
            let _ = sender.send(read(state));
        })));
        receiver.await.ok()
    }

    /// Returns the settings in force; `None` until the first revision is known.
    pub fn settings(&self) -> Option<Arc<SettingsInForce>> {
        self.settings
            .read()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .clone()
    }

    /// Puts settings in force for requests that arrive from now on.
    pub fn apply_settings(&self, settings: Arc<SettingsInForce>) {
        let mut current = self
            .settings
            .write()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        *current = Some(settings);
    }

    /// Stops accepting new requests.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns true if a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Records that the host's shares of the limits are settled among its peers.
    pub fn mark_limits_settled(&self) {
        self.limits_settled.store(true, Ordering::SeqCst);
    }

    /// Returns true once the host's shares of the limits have been settled among its
    /// peers.
    pub fn has_settled_limits(&self) -> bool {
        self.limits_settled.load(Ordering::SeqCst)
    }

    /// Returns true if the load balancer should send requests to this host.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.has_settled_limits() && self.settings().is_some()
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::SeqCst)
    }

    /// Counts a request as in progress; returns `None` if the host is full or stopping.
    pub fn begin_request(self: &Arc<Self>) -> Option<InProgress> {
        // N.B. the request is counted before the check, so that a concurrent drain
        // either waits for this request or causes its refusal.
        let before = self.in_progress.fetch_add(1, Ordering::SeqCst);
        let in_progress = InProgress(self.clone());
        (before < self.config.requests_max && !self.is_draining()).then_some(in_progress)
    }

    /// Waits until no request is in progress.
    pub async fn wait_idle(&self) {
        loop {
            let notified = self.idle.notified();
            if self.in_progress() == 0 {
                return;
            }
            notified.await;
        }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        if self.0.in_progress.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.idle.notify_waiters();
        }
    }
}

/// Derives a key of full length from the configured text with SHA-256.
fn cursor_keys(text: &str) -> CursorKeys {
    let key = Sha256::digest(text.as_bytes()).to_vec();
    CursorKeys::new(&[key]).expect("a SHA-256 has 32 bytes")
}
