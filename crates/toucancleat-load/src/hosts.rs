//! Entry hosts reduced to their decisions: the real reducers, each behind a lock, with
//! messages between them passed in memory.
//!
//! Experiments on the policy run on these, since a relay on the same machine would take its
//! part of the processor from the engines. See docs/POLICY.md, "How it was measured".

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use toucancleat_core::accounts::{
    Config, Effect, Event, LengthOracle, Message, Outcome, RefuseReason, Request, State,
    TargetSpec, reduce,
};
use toucancleat_core::prelude::*;

/// Time between ticks of a host.
const TICK_MS: f64 = 50.0;

/// Start of the hosts' clock, so that no time is before zero.
const CLOCK_START_MS: u64 = 1_000_000_000;

/// The entry hosts of a run.
#[derive(Debug)]
pub struct Hosts {
    hosts: Vec<Arc<Host>>,
    tasks: Vec<JoinHandle<()>>,
}

/// One entry host.
#[derive(Debug)]
pub struct Host {
    clock: Clock,
    core: Mutex<Core>,
    peers: HashMap<HostName, mpsc::UnboundedSender<(HostName, Message)>>,
    name: HostName,
    messages: AtomicU64,
}

/// A clock that runs `scale` times as fast as the wall's.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    scale: f64,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Fate {
    /// It goes to a target.
    Dispatched {
        /// The target.
        target: TargetName,
        /// Priority for the engine.
        priority: u8,
    },
    /// It was refused.
    Refused {
        /// Why.
        reason: RefuseReason,
        /// When to come back.
        retry_after_ms: u64,
    },
}

#[derive(Debug)]
struct Core {
    state: State,
    fates: HashMap<RequestId, oneshot::Sender<Fate>>,
}

impl Clock {
    /// Starts a clock.
    pub fn new(scale: f64) -> Self {
        Clock {
            start: Instant::now(),
            scale,
        }
    }

    /// Returns the engines' time.
    pub fn now_ms(&self) -> u64 {
        CLOCK_START_MS + self.engine_ms(Instant::now()) as u64
    }

    /// Returns the engines' time of an instant, from the clock's start.
    pub fn engine_ms(&self, at: Instant) -> f64 {
        at.duration_since(self.start).as_secs_f64() * 1_000.0 * self.scale
    }

    /// Returns the instant at an engines' time.
    pub fn instant(&self, engine_ms: f64) -> Instant {
        self.start + self.real(engine_ms)
    }

    /// Returns the real duration of an engines' duration.
    pub fn real(&self, engine_ms: f64) -> Duration {
        Duration::from_secs_f64(engine_ms / self.scale / 1_000.0)
    }
}

impl Hosts {
    /// Starts hosts that know the targets; the homes go around.
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
                core: Mutex::new(Core {
                    state: State::new(name.clone(), config),
                    fates: HashMap::new(),
                }),
                peers: peers.clone(),
                name: name.clone(),
                messages: AtomicU64::new(0),
            });
            hosts.tasks.push(tokio::spawn(receive(host.clone(), inbox)));
            hosts.tasks.push(tokio::spawn(tick(host.clone())));
            hosts.hosts.push(host);
        }
        hosts.announce(&names, targets);
        hosts
    }

    /// Returns the host that a balancer gives the n-th request to.
    pub fn balanced(&self, index: usize) -> Arc<Host> {
        self.hosts[index % self.hosts.len()].clone()
    }

    /// Tells every host an event.
    pub fn everywhere(&self, event: &Event) {
        for host in &self.hosts {
            host.event(event.clone());
        }
    }

    /// Returns the messages that hosts sent to each other.
    pub fn messages(&self) -> u64 {
        let sent = self.hosts.iter().map(|host| &host.messages);
        sent.map(|messages| messages.load(Ordering::Relaxed)).sum()
    }

    fn announce(&self, names: &[HostName], targets: &[TargetSpec]) {
        let homes = targets
            .iter()
            .enumerate()
            .map(|(index, spec)| (spec.name.clone(), names[index % names.len()].clone()))
            .collect();
        self.everywhere(&Event::TargetsChanged(targets.to_vec()));
        self.everywhere(&Event::HomesChanged {
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
    /// Looks for a target for a request.
    pub async fn place(&self, request: Request) -> Fate {
        let (sender, fate) = oneshot::channel();
        self.core().fates.insert(request.request, sender);
        self.event(Event::Arrived(request));
        fate.await.unwrap_or(Fate::Refused {
            reason: RefuseReason::NoTarget,
            retry_after_ms: 0,
        })
    }

    /// Tells how far a generation has come.
    pub fn progressed(&self, generation: GenerationId, tokens: u32) {
        self.event(Event::Progressed { generation, tokens });
    }

    /// Tells how a generation ended.
    pub fn finished(&self, generation: GenerationId, tokens: u32, outcome: Outcome) {
        self.event(Event::Finished {
            generation,
            tokens,
            outcome,
        });
    }

    /// Feeds an event to the reducer and carries out what it asks for.
    pub fn event(&self, event: Event) {
        let mut effects = Vec::new();
        let mut core = self.core();
        reduce(&mut core.state, self.clock.now_ms(), event, &mut effects);
        for effect in effects {
            self.carry_out(&mut core, effect);
        }
    }

    fn carry_out(&self, core: &mut Core, effect: Effect) {
        let (request, fate) = match effect {
            Effect::Send { to, message } => {
                self.messages.fetch_add(1, Ordering::Relaxed);
                if let Some(peer) = self.peers.get(&to) {
                    // A host that has ended loses its messages.
                    let _ = peer.send((self.name.clone(), message));
                }
                return;
            }
            Effect::Dispatch {
                request,
                target,
                priority,
                ..
            } => (request, Fate::Dispatched { target, priority }),
            Effect::Refuse {
                request,
                reason,
                retry_after_ms,
            } => (
                request,
                Fate::Refused {
                    reason,
                    retry_after_ms,
                },
            ),
            _ => return,
        };
        if let Some(sender) = core.fates.remove(&request) {
            let _ = sender.send(fate);
        }
    }

    fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn receive(
    host: Arc<Host>,
    mut inbox: mpsc::UnboundedReceiver<(HostName, Message)>,
) {
    while let Some((from, message)) = inbox.recv().await {
        host.event(Event::Received { from, message });
    }
}

async fn tick(host: Arc<Host>) {
    let mut timer = tokio::time::interval(host.clock.real(TICK_MS));
    loop {
        timer.tick().await;
        host.event(Event::Tick);
    }
}
