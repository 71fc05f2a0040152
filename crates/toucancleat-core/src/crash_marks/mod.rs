//! Requests that crash the targets that run them.
//!
//! A request is known by its organisation and body, not by its key, since its caller
//! sends it again under a new one. Each crash of a target marks what ran there. Two marks
//! isolate a request: it runs alone on a target, one such request at a time in the zone.
//! Three refuse it. Finishing clears its marks, which frees those that only happened to
//! run beside it. See docs/design/targets.md.

mod event;
mod isolation;
mod mark;
mod message;

use indexmap::IndexMap;
use sha2::{Digest, Sha256};

pub use self::event::{Effect, Event};
use self::isolation::Isolation;
use self::mark::Mark;
pub use self::message::{Crash, CrashMarks, Message};
use crate::prelude::*;

/// Bounds of crash marks.
#[derive(Clone, Debug)]
pub struct Config {
    /// Marks that isolate a request.
    pub isolate_marks: usize,
    /// Marks that refuse a request.
    pub refuse_marks: usize,
    /// Time after which a mark expires.
    pub mark_ms: u64,
    /// Most requests whose marks are kept.
    pub marked_max: usize,
    /// Time after a request has stopped unfinished in which a crash still marks it: the
    /// lost connection is often seen before the crash.
    pub crash_window_ms: u64,
    /// Time after which an isolated run gives up its turn.
    pub isolation_ms: u64,
    /// Time between two messages that clear marks.
    pub clear_interval_ms: u64,
    /// Most entries in one message.
    pub entries_per_message_max: usize,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            isolate_marks: 2,
            refuse_marks: 3,
            mark_ms: 3_600_000,
            marked_max: 20_000,
            crash_window_ms: 10_000,
            isolation_ms: 600_000,
            clear_interval_ms: 500,
            entries_per_message_max: 512,
        }
    }
}

/// What a request is recognised by when it comes again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Takes the fingerprint of an organisation's request by its body.
    pub fn new(organisation: &OrganisationName, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        // N.B. The length comes first, so that no other split of the same bytes into
        // name and body gives the same fingerprint.
        hasher.update((organisation.as_str().len() as u64).to_le_bytes());
        hasher.update(organisation.as_str().as_bytes());
        hasher.update(body);
        let mut first = [0; 16];
        first.copy_from_slice(&hasher.finalize()[..16]);
        Fingerprint(u128::from_le_bytes(first))
    }
}

/// How a request is to be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Treatment {
    /// Like any other.
    Normal,
    /// Alone on a target, after [`Event::Isolate`] has given it its turn.
    Isolate,
    /// Not at all.
    Refuse {
        /// Time until enough marks have expired.
        retry_after_ms: u64,
    },
}

/// One host's marks, and what it runs.
#[derive(Debug)]
pub struct State {
    config: Config,
    marks: IndexMap<Fingerprint, Mark>,
    running: IndexMap<TargetName, Vec<Run>>,
    cleared: Vec<Fingerprint>,
    next_clear_ms: u64,
    isolation: Isolation,
}

/// A request at a target.
#[derive(Clone, Copy, Debug)]
struct Run {
    fingerprint: Fingerprint,
    /// When it stopped unfinished, or `None` while it runs.
    stopped_ms: Option<u64>,
}

impl State {
    /// Makes a state without marks.
    pub fn new(config: Config) -> Self {
        State {
            config,
            marks: IndexMap::new(),
            running: IndexMap::new(),
            cleared: Vec::new(),
            next_clear_ms: 0,
            isolation: Isolation::default(),
        }
    }

    /// Says how a request is to be run.
    pub fn treatment(&self, now_ms: u64, fingerprint: &Fingerprint) -> Treatment {
        let Some(mark) = self.marks.get(fingerprint) else {
            return Treatment::Normal;
        };
        let ends_ms = mark.ends_ms(now_ms);
        if ends_ms.len() >= self.config.refuse_marks {
            let last = ends_ms.len() - self.config.refuse_marks;
            return Treatment::Refuse {
                retry_after_ms: ends_ms[last] - now_ms,
            };
        }
        match ends_ms.len() >= self.config.isolate_marks {
            true => Treatment::Isolate,
            false => Treatment::Normal,
        }
    }

    /// Returns how many requests have marks.
    pub fn marked(&self) -> usize {
        self.marks.len()
    }
}

/// Takes one event into the state.
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
            state.stopped(now_ms, &target, fingerprint, finished);
        }
        Event::Crashed { crash } => state.crashed(now_ms, crash, effects),
        Event::Isolate {
            home,
            fingerprint,
            attempt,
        } => {
            let message = Message::AskTurn {
                fingerprint,
                attempt,
            };
            effects.push(Effect::Send { to: home, message });
        }
        Event::IsolationEnded { home, attempt } => {
            let message = Message::EndTurn { attempt };
            effects.push(Effect::Send { to: home, message });
        }
        Event::Received { from, message } => {
            state.receive(now_ms, from, message, effects)
        }
    }
}

impl State {
    fn tick(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        if now_ms < self.next_clear_ms {
            return;
        }
        self.next_clear_ms = now_ms + self.config.clear_interval_ms;
        self.forget_stopped(now_ms);
        self.marks.retain(|_, mark| !mark.is_expired(now_ms));
        let count = self.cleared.len().min(self.config.entries_per_message_max);
        if count == 0 {
            return;
        }
        let cleared = self.cleared.drain(..count);
        let crashes: Vec<CrashMarks> = cleared
            .filter_map(|fingerprint| {
                let crashes = self.marks.get(&fingerprint)?.cleared();
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

    fn stopped(
        &mut self,
        now_ms: u64,
        target: &TargetName,
        fingerprint: Fingerprint,
        finished: bool,
    ) {
        let runs = self.running.entry(target.clone()).or_default();
        let running =
            |run: &Run| run.fingerprint == fingerprint && run.stopped_ms.is_none();
        if let Some(i) = runs.iter().position(running) {
            match finished {
                true => drop(runs.swap_remove(i)),
                false => runs[i].stopped_ms = Some(now_ms),
            }
        }
        if finished
            && let Some(mark) = self.marks.get_mut(&fingerprint)
            && mark.clear_all()
        {
            self.cleared.push(fingerprint);
        }
    }

    fn forget_stopped(&mut self, now_ms: u64) {
        let window_ms = self.config.crash_window_ms;
        self.running.retain(|_, runs| {
            runs.retain(|run| {
                run.stopped_ms
                    .is_none_or(|stopped_ms| now_ms < stopped_ms + window_ms)
            });
            !runs.is_empty()
        });
    }

    /// Marks what this host ran at the target; other hosts mark what they ran.
    fn crashed(&mut self, now_ms: u64, crash: Crash, effects: &mut Vec<Effect>) {
        self.forget_stopped(now_ms);
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
            self.mark(now_ms, &crash, chunk, effects);
        }
    }

    fn mark(
        &mut self,
        now_ms: u64,
        crash: &Crash,
        fingerprints: &[Fingerprint],
        effects: &mut Vec<Effect>,
    ) {
        for &fingerprint in fingerprints {
            let mark = self.marks.entry(fingerprint).or_default();
            if mark.add(crash, now_ms + self.config.mark_ms) {
                let marks = mark.ends_ms(now_ms).len();
                effects.push(Effect::Marked { fingerprint, marks });
            }
        }
        while self.marks.len() > self.config.marked_max {
            self.marks.shift_remove_index(0);
        }
    }

    fn clear(&mut self, now_ms: u64, cleared: &[CrashMarks]) {
        for CrashMarks {
            fingerprint,
            crashes,
        } in cleared
        {
            let mark = self.marks.entry(*fingerprint).or_default();
            for crash in crashes {
                mark.clear(crash, now_ms + self.config.mark_ms);
            }
        }
    }

    fn receive(
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
                self.mark(now_ms, &crash, &fingerprints, effects);
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
                self.clear(now_ms, &cleared);
                if relay {
                    let message = Message::Cleared {
                        relay: false,
                        cleared,
                    };
                    effects.push(Effect::Broadcast { message });
                }
            }
            Message::AskTurn {
                fingerprint: _,
                attempt,
            } => {
                let term_ms = self.config.isolation_ms;
                let message = self.isolation.ask(now_ms, term_ms, attempt);
                effects.push(Effect::Send { to: from, message });
            }
            Message::EndTurn { attempt } => self.isolation.end(attempt),
            Message::Turn { attempt } => effects.push(Effect::Turn { attempt }),
            Message::NoTurn {
                attempt,
                retry_after_ms,
            } => {
                effects.push(Effect::NoTurn {
                    attempt,
                    retry_after_ms,
                });
            }
        }
    }
}
