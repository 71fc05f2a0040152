//! The hosts of a zone, each with its known state of one target, and their messages.

use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;
use toucancleat_core::targets::{Config, Effect, Event, Message, State, reduce};

pub fn target(number: usize) -> TargetName {
    TargetName::new(&format!("plan-llm-{number}"))
}

pub fn host(number: usize) -> HostName {
    HostName::new(&format!("entry-{number}"))
}

pub fn add_target(state: &mut State, number: usize, epoch: u64) {
    let event = Event::Observed {
        target: target(number),
        pool: PoolName::new("plan"),
        epoch,
    };
    reduce(state, 0, event, &mut Vec::new());
}

/// The hosts of one zone, and a network that loses and reorders their messages.
pub struct Zone {
    pub hosts: Vec<State>,
    in_flight: Vec<(usize, usize, Message)>,
    loss_percent: usize,
    rng: Rng,
}

impl Zone {
    pub fn new(count: usize, loss_percent: usize, seed: u64) -> Self {
        let hosts = (0..count).map(|number| {
            let mut state = State::new(Config::default(), seed + number as u64);
            add_target(&mut state, 0, 1);
            let peers = (0..count)
                .filter(|&other| other != number)
                .map(host)
                .collect();
            reduce(
                &mut state,
                0,
                Event::PeersChanged { peers },
                &mut Vec::new(),
            );
            state
        });
        let hosts = hosts.collect();
        Zone {
            hosts,
            in_flight: Vec::new(),
            loss_percent,
            rng: Rng::new(seed),
        }
    }

    pub fn handle_event(&mut self, number: usize, now_ms: u64, event: Event) {
        let mut effects = Vec::new();
        reduce(&mut self.hosts[number], now_ms, event, &mut effects);
        self.send_messages(number, effects);
    }

    pub fn send_messages(&mut self, from: usize, effects: Vec<Effect>) {
        for effect in effects {
            if let Effect::Send { to, message } = effect {
                let to = to.as_str()["entry-".len()..].parse().expect("a number");
                self.in_flight.push((from, to, message));
            }
        }
    }

    /// Delivers the messages in random order until none is in flight.
    pub fn deliver_messages(&mut self, now_ms: u64) {
        while !self.in_flight.is_empty() {
            let index = self.rng.below(self.in_flight.len());
            let (from, to, message) = self.in_flight.swap_remove(index);
            if self.rng.below(100) >= self.loss_percent {
                self.handle_event(
                    to,
                    now_ms,
                    Event::MessageReceived {
                        from: host(from),
                        message,
                    },
                );
            }
        }
    }
}
