//! Replay of random walks through the specification of the store's eras against the reducer.

mod support;

use support::*;
use toucancleat_core::rng::Rng;
use toucancleat_fleet::event::Effect;
use toucancleat_fleet::peers::{Message, Update};
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::store::{Query, Reply};
use toucancleat_fleet::target::{TargetChange, TargetEntry};
use toucancleat_model::random_walk;
use toucancleat_model::store_eras::{
    Action, Config, Row, State as Specified, next_states,
};

const WALKS: usize = 300;
const STEPS_MAX: usize = 40;

/// Time between two actions.
const STEP_MS: u64 = 30;

const TARGET: &str = "roster-1";

/// Another target, which is always ready, so that requests don't go to targets whose entries
/// have just expired.
const OTHER: &str = "roster-2";

fn listed(row: Row) -> TargetChange {
    let entry = TargetEntry {
        is_leaving: !row.is_ready,
        ..entry("roster", "upp-a", 901)
    };
    change(TARGET, row.version.into(), Some(entry))
}

/// Hosts, and a peer whose messages carry the changes.
struct System {
    hosts: Vec<State>,
    /// Whether a row showed each host that the target leaves.
    has_seen_leaving: Vec<bool>,
    peer: Message,
    now_ms: u64,
    sent_ms: u64,
}

impl System {
    fn new(config: &Config) -> Self {
        let mut peer = empty_host("host-99", "upp-a", 99);
        let hosts = vec![address(1)];
        let effects = {
            apply(&mut peer, START_MS, Event::Tick);
            answer(&mut peer, START_MS, Query::Hosts, Reply::Hosts(hosts));
            apply(&mut peer, START_MS + 2_000, Event::Tick)
        };
        let sent = effects.into_iter().find_map(|effect| match effect {
            Effect::Send { message, .. } => Some(*message),
            _ => None,
        });
        System {
            hosts: (0..config.hosts).map(|_| new_host()).collect(),
            has_seen_leaving: vec![false; config.hosts.into()],
            peer: sent.expect("a message of the peer"),
            now_ms: START_MS,
            sent_ms: 0,
        }
    }

    fn apply(&mut self, before: &Specified, action: Action) {
        self.now_ms += STEP_MS;
        match action {
            Action::Deliver { host, reply } => {
                // The store's replies to one query are in order, so a host knows a reply of an
                // earlier era only from a query that it made before. The tests of
                // `store_eras` have these.
                if reply.era < before.hosts[usize::from(host)].era {
                    return;
                }
                let other = change(OTHER, 1, Some(entry("roster", "upp-a", 902)));
                let list = Reply::Targets {
                    store_version: reply.version.into(),
                    list: vec![listed(reply.row), other],
                };
                self.has_seen_leaving[usize::from(host)] |= !reply.row.is_ready;
                let host = &mut self.hosts[usize::from(host)];
                let era = Some(reply.era.into());
                answer_in_era(host, self.now_ms, Query::Targets, era, list);
            }
            Action::Receive { host, message } => {
                self.has_seen_leaving[usize::from(host)] |= !message.row.is_ready;
                self.sent_ms += 1;
                let update = Update::Targets(vec![listed(message.row)]);
                let message = Message {
                    sent_ms: self.sent_ms,
                    store_era: message.era.into(),
                    update: Some(update),
                    ..self.peer.clone()
                };
                let host = &mut self.hosts[usize::from(host)];
                let received = Event::MessageReceived(Box::new(message));
                apply(host, self.now_ms, received);
            }
            Action::Crash { host } => {
                self.hosts[usize::from(host)] = new_host();
                self.has_seen_leaving[usize::from(host)] = false;
            }
            _ => {}
        }
    }
}

fn new_host() -> State {
    let mut host = empty_host("host-1", "upp-a", 1);
    let configuration = Reply::Configuration(Some(stored(configuration(1))));
    answer(&mut host, START_MS, Query::Configuration, configuration);
    answer(&mut host, START_MS, Query::Hosts, Reply::Hosts(Vec::new()));
    host
}

/// A host sends requests to the target exactly when the specification says so, with one exception:
/// one that first hears of the target when it leaves doesn't take the row of a copy for a new one,
/// which the specification permits.
#[test]
fn hosts_believe_what_the_specification_says() {
    let config = Config {
        hosts: 2,
        versions_max: 5,
        returns_max: 2,
        crashes_max: 1,
        mutation: None,
    };
    let initial = Specified::new(&config);
    let mut rng = Rng::new(23);
    let mut compared = 0;
    for walk in 0..WALKS {
        let step = |state: &Specified| next_states(&config, state);
        let steps = random_walk(&initial, step, &mut rng, STEPS_MAX);
        let mut system = System::new(&config);
        let mut before = initial.clone();
        let mut applied = Vec::new();
        for (action, after) in steps {
            applied.push(action);
            system.apply(&before, action);
            let now_ms = system.now_ms;
            let seen = system.has_seen_leaving.clone();
            let hosts = system.hosts.iter_mut().zip(&after.hosts).zip(seen);
            for ((host, specified), has_seen_leaving) in hosts {
                let used = targets_of(host, now_ms, "lookup");
                let uses_target = used.iter().any(|name| name == TARGET);
                compared += 1;
                let is_stricter = has_seen_leaving && !uses_target;
                assert!(
                    uses_target == specified.uses_target || is_stricter,
                    "walk {walk}: the host uses the target: {uses_target}, after {applied:?}"
                );
            }
            before = after;
        }
    }
    assert!(compared > 5_000, "{compared} beliefs compared");
}
