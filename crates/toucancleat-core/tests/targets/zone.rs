//! A zone's hosts, each with its view of one target, and the messages between them.

use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;
use toucancleat_core::targets::{Config, Effect, Event, Message, State, reduce};

pub fn target(number: usize) -> TargetName {
    TargetName::new(&format!("plan-llm-{number}"))
}

pub fn host(number: usize) -> HostName {
    HostName::new(&format!("entry-{number}"))
}

pub fn seen(state: &mut State, number: usize, epoch: u64) {
    let event = Event::Seen {
        target: target(number),
        pool: PoolName::new("plan"),
        epoch,
    };
    reduce(state, 0, event, &mut Vec::new());
}

/// Hosts of one zone and the messages between them.
pub struct Zone {
    pub hosts: Vec<State>,
    under_way: Vec<(usize, usize, Message)>,
    loss_percent: usize,
    rng: Rng,
}

impl Zone {
    pub fn new(count: usize, loss_percent: usize, seed: u64) -> Self {
        let hosts = (0..count).map(|number| {
            let mut state = State::new(Config::default(), seed + number as u64);
            seen(&mut state, 0, 1);
            let peers = (0..count)
                .filter(|&other| other != number)
                .map(host)
                .collect();
            reduce(&mut state, 0, Event::Hosts { peers }, &mut Vec::new());
            state
        });
        let hosts = hosts.collect();
        Zone {
            hosts,
            under_way: Vec::new(),
            loss_percent,
            rng: Rng::new(seed),
        }
    }

    pub fn event(&mut self, number: usize, now_ms: u64, event: Event) {
        let mut effects = Vec::new();
        reduce(&mut self.hosts[number], now_ms, event, &mut effects);
        self.queue(number, effects);
    }

    pub fn queue(&mut self, from: usize, effects: Vec<Effect>) {
        for effect in effects {
            if let Effect::Send { to, message } = effect {
                let to = to.as_str()["entry-".len()..].parse().expect("a number");
                self.under_way.push((from, to, message));
            }
        }
    }

    /// Delivers in random order until nothing is under way.
    pub fn deliver(&mut self, now_ms: u64) {
        while !self.under_way.is_empty() {
            let i = self.rng.below(self.under_way.len());
            let (from, to, message) = self.under_way.swap_remove(i);
            if self.rng.below(100) >= self.loss_percent {
                self.event(
                    to,
                    now_ms,
                    Event::Received {
                        from: host(from),
                        message,
                    },
                );
            }
        }
    }
}
