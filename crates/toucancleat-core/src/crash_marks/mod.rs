//! Detection of poison requests, which crash every target that runs them.
//!
//! A request is identified by its organisation and body and not by its idempotency key,
//! since a caller may retry it under a new key. Each crash of a target marks the requests
//! that ran there. A request with two marks is isolated: it runs alone on a target, and
//! only one such request runs at a time in the zone. A request with three marks is
//! refused. A request that finishes loses its marks, so that one that merely ran beside a
//! poison request is not refused. See docs/design/targets.md.

mod event;
mod isolation;
mod mark;
mod message;

use indexmap::IndexMap;
use sha2::{Digest, Sha256};

pub use self::event::{Effect, Event};
use self::isolation::Isolation;
use self::mark::RequestMarks;
pub use self::message::{Crash, CrashMarks, Message};
use crate::prelude::*;

/// Limits and intervals of the crash marks.
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of marks at which a request is isolated.
    pub isolate_marks: usize,
    /// Number of marks at which a request is refused.
    pub refuse_marks: usize,
    /// Time after which a mark expires, in milliseconds.
    pub mark_expiry_ms: u64,
    /// Maximum number of requests whose marks are kept; the oldest are dropped first.
    pub marked_requests_max: usize,
    /// Time for which a crash still marks a request that has stopped unfinished, in
    /// milliseconds: the loss of the connection is often detected before the crash.
    pub crash_window_ms: u64,
    /// Time after which the turn of an isolated run expires, in milliseconds.
    pub isolation_timeout_ms: u64,
    /// Interval between messages that clear marks, in milliseconds.
    pub clear_interval_ms: u64,
    /// Maximum number of entries in one message.
    pub entries_per_message_max: usize,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            isolate_marks: 2,
            refuse_marks: 3,
            mark_expiry_ms: 3_600_000,
            marked_requests_max: 20_000,
            crash_window_ms: 10_000,
            isolation_timeout_ms: 600_000,
            clear_interval_ms: 500,
            entries_per_message_max: 512,
        }
    }
}

/// A hash that identifies a request when it is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Computes the fingerprint of an organisation's request from its body.
    pub fn new(organisation: &OrganisationName, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        // N.B. The length prefix ensures that no other split of the same bytes into name
        // and body has the same fingerprint.
        hasher.update((organisation.as_str().len() as u64).to_le_bytes());
        hasher.update(organisation.as_str().as_bytes());
        hasher.update(body);
        let mut first = [0; 16];
        first.copy_from_slice(&hasher.finalize()[..16]);
        Fingerprint(u128::from_le_bytes(first))
    }
}

/// How a request must be run, given its marks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Treatment {
    /// Like any other request.
    Normal,
    /// Alone on a target, once [`Event::IsolationRequested`] has led to
    /// [`Effect::TurnGranted`].
    Isolate,
    /// Not at all; the request is refused.
    Refuse {
        /// Time until enough marks have expired, in milliseconds.
        retry_after_ms: u64,
    },
}

/// The marks that one host knows, and the requests that it runs.
#[derive(Debug)]
pub struct State {
    config: Config,
    marks: IndexMap<Fingerprint, RequestMarks>,
    running: IndexMap<TargetName, Vec<Run>>,
    /// Requests whose marks were cleared here and not yet at the other hosts.
    pending_clears: Vec<Fingerprint>,
    next_clear_ms: u64,
    isolation: Isolation,
}

/// A run of a request at a target.
#[derive(Clone, Copy, Debug)]
struct Run {
    fingerprint: Fingerprint,
    /// When it stopped unfinished, or `None` if it is still running.
    stopped_ms: Option<u64>,
}

impl State {
    /// Creates a state without marks.
    pub fn new(config: Config) -> Self {
        State {
            config,
            marks: IndexMap::new(),
            running: IndexMap::new(),
            pending_clears: Vec::new(),
            next_clear_ms: 0,
            isolation: Isolation::default(),
        }
    }

    /// Returns how a request must be run.
    pub fn treatment(&self, now_ms: u64, fingerprint: &Fingerprint) -> Treatment {
        let Some(marks) = self.marks.get(fingerprint) else {
            return Treatment::Normal;
        };
        let expiry_times_ms = marks.expiry_times_ms(now_ms);
        if expiry_times_ms.len() >= self.config.refuse_marks {
            let last = expiry_times_ms.len() - self.config.refuse_marks;
            return Treatment::Refuse {
                retry_after_ms: expiry_times_ms[last] - now_ms,
            };
        }
        match expiry_times_ms.len() >= self.config.isolate_marks {
            true => Treatment::Isolate,
            false => Treatment::Normal,
        }
    }

    /// Returns the number of requests with marks, including cleared ones.
    pub fn marked_count(&self) -> usize {
        self.marks.len()
    }
}

/// Applies one event.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    match event {
        Event::Tick => state.tick(now_ms, effects),
        Event::Started {
            target,
            fingerprint,
        } => {
            let run = Run {
                fingerprint,
                stopped_ms: None,
            };
            state.running.entry(target).or_default().push(run);
        }
        Event::Stopped {
            target,
            fingerprint,
            finished,
        } => {
            state.handle_stopped(now_ms, &target, fingerprint, finished);
        }
        Event::Crashed { crash } => state.handle_crash(now_ms, crash, effects),
        Event::IsolationRequested {
            home,
            fingerprint,
            attempt,
        } => {
            let message = Message::RequestTurn {
                fingerprint,
                attempt,
            };
            effects.push(Effect::Send { to: home, message });
        }
        Event::IsolationEnded { home, attempt } => {
            let message = Message::ReleaseTurn { attempt };
            effects.push(Effect::Send { to: home, message });
        }
        Event::MessageReceived { from, message } => {
            state.handle_message(now_ms, from, message, effects)
        }
    }
}

impl State {
    fn tick(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        if now_ms < self.next_clear_ms {
            return;
        }
        self.next_clear_ms = now_ms + self.config.clear_interval_ms;
        self.drop_stopped_runs(now_ms);
        self.marks.retain(|_, marks| !marks.is_expired(now_ms));
        let count = self
            .pending_clears
            .len()
            .min(self.config.entries_per_message_max);
        if count == 0 {
            return;
        }
        let cleared = self.pending_clears.drain(..count);
        let crashes: Vec<CrashMarks> = cleared
            .filter_map(|fingerprint| {
                let crashes = self.marks.get(&fingerprint)?.cleared_crashes();
                Some(CrashMarks {
                    fingerprint,
                    crashes,
                })
            })
            .collect();
        let message = |relay| Message::Cleared {
            relay,
            cleared: crashes.clone(),
        };
        effects.push(Effect::Broadcast {
            message: message(false),
        });
        effects.push(Effect::SendToZones {
            message: message(true),
        });
    }

    fn handle_stopped(
        &mut self,
        now_ms: u64,
        target: &TargetName,
        fingerprint: Fingerprint,
        finished: bool,
    ) {
        let runs = self.running.entry(target.clone()).or_default();
        let is_match =
            |run: &Run| run.fingerprint == fingerprint && run.stopped_ms.is_none();
        if let Some(i) = runs.iter().position(is_match) {
            match finished {
                true => drop(runs.swap_remove(i)),
                false => runs[i].stopped_ms = Some(now_ms),
            }
        }
        if finished
            && let Some(marks) = self.marks.get_mut(&fingerprint)
            && marks.clear_all()
        {
            self.pending_clears.push(fingerprint);
        }
    }

    /// Drops the runs that stopped too long ago for a crash to mark them.
    fn drop_stopped_runs(&mut self, now_ms: u64) {
        let window_ms = self.config.crash_window_ms;
        self.running.retain(|_, runs| {
            runs.retain(|run| {
                run.stopped_ms
                    .is_none_or(|stopped_ms| now_ms < stopped_ms + window_ms)
            });
            !runs.is_empty()
        });
    }

    /// Marks the requests that this host ran at the target; other hosts mark theirs.
    fn handle_crash(&mut self, now_ms: u64, crash: Crash, effects: &mut Vec<Effect>) {
        self.drop_stopped_runs(now_ms);
        let Some(runs) = self.running.swap_remove(&crash.target) else {
            return;
        };
        let mut fingerprints: Vec<Fingerprint> =
            runs.iter().map(|run| run.fingerprint).collect();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        for chunk in fingerprints.chunks(self.config.entries_per_message_max) {
            let message = |relay| Message::Marked {
                relay,
                crash: crash.clone(),
                fingerprints: chunk.to_vec(),
            };
            effects.push(Effect::Broadcast {
                message: message(false),
            });
            effects.push(Effect::SendToZones {
                message: message(true),
            });
            self.add_marks(now_ms, &crash, chunk, effects);
        }
    }

    fn add_marks(
        &mut self,
        now_ms: u64,
        crash: &Crash,
        fingerprints: &[Fingerprint],
        effects: &mut Vec<Effect>,
    ) {
        for &fingerprint in fingerprints {
            let request_marks = self.marks.entry(fingerprint).or_default();
            if request_marks.add(crash, now_ms + self.config.mark_expiry_ms) {
                let marks = request_marks.expiry_times_ms(now_ms).len();
                effects.push(Effect::Marked { fingerprint, marks });
            }
        }
        while self.marks.len() > self.config.marked_requests_max {
            self.marks.shift_remove_index(0);
        }
    }

    fn clear_marks(&mut self, now_ms: u64, cleared: &[CrashMarks]) {
        for CrashMarks {
            fingerprint,
            crashes,
        } in cleared
        {
            let marks = self.marks.entry(*fingerprint).or_default();
            for crash in crashes {
                marks.clear(crash, now_ms + self.config.mark_expiry_ms);
            }
        }
    }

    fn handle_message(
        &mut self,
        now_ms: u64,
        from: HostName,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Message::Marked {
                relay,
                crash,
                fingerprints,
            } => {
                self.add_marks(now_ms, &crash, &fingerprints, effects);
                if relay {
                    let message = Message::Marked {
                        relay: false,
                        crash,
                        fingerprints,
                    };
                    effects.push(Effect::Broadcast { message });
                }
            }
            Message::Cleared { relay, cleared } => {
                self.clear_marks(now_ms, &cleared);
                if relay {
                    let message = Message::Cleared {
                        relay: false,
                        cleared,
                    };
                    effects.push(Effect::Broadcast { message });
                }
            }
            Message::RequestTurn {
                fingerprint: _,
                attempt,
            } => {
                let timeout_ms = self.config.isolation_timeout_ms;
                let message = self.isolation.request_turn(now_ms, timeout_ms, attempt);
                effects.push(Effect::Send { to: from, message });
            }
            Message::ReleaseTurn { attempt } => self.isolation.release_turn(attempt),
            Message::GrantTurn { attempt } => {
                effects.push(Effect::TurnGranted { attempt })
            }
            Message::DenyTurn {
                attempt,
                retry_after_ms,
            } => {
                effects.push(Effect::TurnDenied {
                    attempt,
                    retry_after_ms,
                });
            }
        }
    }
}
