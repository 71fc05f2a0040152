//! Simulated entry hosts that only make decisions: the production reducers, each behind a lock,
//! which exchange their messages in memory.
//!
//! Experiments on routing policies use them because a relay on the same machine would compete
//! with the engines for processor time. See docs/POLICY.md, "How it was measured".

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use toucancleat_core::accounts::{
    Config, Effect, Event, LengthOracle, Message, Outcome, RefusalReason, Request, State,
    TargetSpec, reduce,
};
use toucancleat_core::prelude::*;

/// Time between two ticks of a host, in engine time.
const TICK_MS: f64 = 50.0;

/// Engine time at the start of a clock. It is far above zero so that no time before the start
/// falls below zero.
const CLOCK_START_MS: u64 = 1_000_000_000;

/// The simulated entry hosts of a run.
#[derive(Debug)]
pub struct Hosts {
    hosts: Vec<Arc<Host>>,
    tasks: Vec<JoinHandle<()>>,
}

/// One simulated entry host.
#[derive(Debug)]
pub struct Host {
    clock: Clock,
    inner: Mutex<Inner>,
    peers: HashMap<HostName, mpsc::UnboundedSender<(HostName, Message)>>,
    name: HostName,
    message_count: AtomicU64,
}

/// A clock of engine time, which runs `scale` times as fast as real time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    scale: f64,
}

/// The decision on a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The request is dispatched to a target.
    Dispatched {
        /// Target that runs the request.
        target: TargetName,
        /// Priority that the engine is to give the request.
        priority: u8,
    },
    /// The request is refused.
    Refused {
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Time after which the caller may retry.
        retry_after_ms: u64,
    },
}

#[derive(Debug)]
struct Inner {
    state: State,
    pending_decisions: HashMap<RequestId, oneshot::Sender<Decision>>,
}

impl Clock {
    /// Starts a clock that runs `scale` times as fast as real time.
    pub fn new(scale: f64) -> Self {
        Clock {
            start: Instant::now(),
            scale,
        }
    }

    /// Returns the current engine time.
    pub fn now_ms(&self) -> u64 {
        CLOCK_START_MS + self.engine_ms(Instant::now()) as u64
    }

    /// Returns the engine time between the clock's start and an instant.
    pub fn engine_ms(&self, at: Instant) -> f64 {
        at.duration_since(self.start).as_secs_f64() * 1_000.0 * self.scale
    }

    /// Returns the instant that lies an engine time after the clock's start.
    pub fn instant_at(&self, engine_ms: f64) -> Instant {
        self.start + self.real_duration(engine_ms)
    }

    /// Converts a duration in engine time to real time.
    pub fn real_duration(&self, engine_ms: f64) -> Duration {
        Duration::from_secs_f64(engine_ms / self.scale / 1_000.0)
    }
}

impl Hosts {
    /// Starts the hosts with their targets. The targets' homes are assigned round-robin.
    pub fn start(
        count: usize,
        targets: &[TargetSpec],
        seed: u64,
        clock: Clock,
        oracle: Option<LengthOracle>,
    ) -> Hosts {
        let names: Vec<HostName> = (0..count)
            .map(|index| HostName::new(&format!("entry-{index}")))
            .collect();
        let mut peers = HashMap::new();
        let mut inboxes = Vec::new();
        for name in &names {
            let (sender, inbox) = mpsc::unbounded_channel();
            peers.insert(name.clone(), sender);
            inboxes.push(inbox);
        }
        let mut hosts = Hosts {
            hosts: Vec::new(),
            tasks: Vec::new(),
        };
        for (index, (name, inbox)) in names.iter().zip(inboxes).enumerate() {
            let config = Config {
                seed: seed.wrapping_add(index as u64),
                length_oracle: oracle.clone(),
                ..Config::default()
            };
            let host = Arc::new(Host {
                clock,
                inner: Mutex::new(Inner {
                    state: State::new(name.clone(), config),
                    pending_decisions: HashMap::new(),
                }),
                peers: peers.clone(),
                name: name.clone(),
                message_count: AtomicU64::new(0),
            });
            hosts.tasks.push(tokio::spawn(receive(host.clone(), inbox)));
            hosts.tasks.push(tokio::spawn(tick(host.clone())));
            hosts.hosts.push(host);
        }
        hosts.deliver_targets(&names, targets);
        hosts
    }

    /// Returns the host to which a round-robin load balancer sends the request of this index.
    pub fn balanced_host(&self, index: usize) -> Arc<Host> {
        self.hosts[index % self.hosts.len()].clone()
    }

    /// Delivers an event to every host.
    pub fn deliver_to_all_hosts(&self, event: &Event) {
        for host in &self.hosts {
            host.deliver_event(event.clone());
        }
    }

    /// Returns the number of messages that the hosts sent to each other.
    pub fn message_count(&self) -> u64 {
        let counts = self.hosts.iter().map(|host| &host.message_count);
        counts.map(|count| count.load(Ordering::Relaxed)).sum()
    }

    fn deliver_targets(&self, names: &[HostName], targets: &[TargetSpec]) {
        let homes = targets
            .iter()
            .enumerate()
            .map(|(index, spec)| (spec.name.clone(), names[index % names.len()].clone()))
            .collect();
        self.deliver_to_all_hosts(&Event::TargetsChanged(targets.to_vec()));
        self.deliver_to_all_hosts(&Event::HomesChanged {
            hosts: names.to_vec(),
            homes,
        });
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Host {
    /// Waits for the decision on a request.
    ///
    /// Returns a refusal for `RefusalReason::NoTarget` if the host drops the request
    /// undecided.
    pub async fn decide(&self, request: Request) -> Decision {
        let (sender, decision) = oneshot::channel();
        self.lock_inner()
            .pending_decisions
            .insert(request.id, sender);
        self.deliver_event(Event::RequestReceived(request));
        decision.await.unwrap_or(Decision::Refused {
            reason: RefusalReason::NoTarget,
            retry_after_ms: 0,
        })
    }

    /// Reports the number of tokens that a generation has produced so far.
    pub fn report_progress(&self, generation: GenerationId, tokens: u32) {
        self.deliver_event(Event::GenerationProgressed { generation, tokens });
    }

    /// Reports the outcome of a generation.
    pub fn report_finished(
        &self,
        generation: GenerationId,
        tokens: u32,
        outcome: Outcome,
    ) {
        self.deliver_event(Event::GenerationFinished {
            generation,
            tokens,
            outcome,
        });
    }

    /// Passes an event to the reducer and executes the effects.
    pub fn deliver_event(&self, event: Event) {
        let mut effects = Vec::new();
        let mut inner = self.lock_inner();
        reduce(&mut inner.state, self.clock.now_ms(), event, &mut effects);
        for effect in effects {
            self.execute(&mut inner, effect);
        }
    }

    fn execute(&self, inner: &mut Inner, effect: Effect) {
        let (request, decision) = match effect {
            Effect::Send { to, message } => {
                self.message_count.fetch_add(1, Ordering::Relaxed);
                if let Some(peer) = self.peers.get(&to) {
                    // A message to a host that has stopped is lost.
                    let _ = peer.send((self.name.clone(), message));
                }
                return;
            }
            Effect::Dispatch {
                request,
                target,
                priority,
                ..
            } => (request, Decision::Dispatched { target, priority }),
            Effect::Refuse {
                request,
                reason,
                retry_after_ms,
            } => (
                request,
                Decision::Refused {
                    reason,
                    retry_after_ms,
                },
            ),
            _ => return,
        };
        if let Some(sender) = inner.pending_decisions.remove(&request) {
            let _ = sender.send(decision);
        }
    }

    fn lock_inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn receive(
    host: Arc<Host>,
    mut inbox: mpsc::UnboundedReceiver<(HostName, Message)>,
) {
    while let Some((from, message)) = inbox.recv().await {
        host.deliver_event(Event::MessageReceived { from, message });
    }
}

async fn tick(host: Arc<Host>) {
    let mut timer = tokio::time::interval(host.clock.real_duration(TICK_MS));
    loop {
        timer.tick().await;
        host.deliver_event(Event::Tick);
    }
}
