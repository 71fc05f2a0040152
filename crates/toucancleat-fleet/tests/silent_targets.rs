//! Runs at targets, and for peers, that are only silent for a while.

mod support;

use support::*;
use toucancleat_fleet::event::Effect;
use toucancleat_fleet::peers::{Load, Message};
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::store::{Query, Reply};

/// What falls silent while a request runs.
#[derive(Clone, Copy, Debug)]
enum Silent {
    /// The target's entry vanishes from the host list without a notice.
    Target,
    /// The store answers no more, so that nothing is heard of any target.
    Store,
    /// A peer that has work at the same target.
    Peer,
}

/// Guards against work that is started elsewhere, or given up, though it goes on: a target that
/// isn't heard of may still run it, and its answer counts.
#[test]
fn running_work_of_a_silent_target_is_neither_repeated_nor_given_up() {
    for kind in ["draft", "check", "booking", "lookup"] {
        for silent in [Silent::Target, Silent::Store, Silent::Peer] {
            let name = format!("{kind}, {silent:?}");
            let targets = [
                ("engine-1", entry("engines", "upp-a", 101)),
                ("engine-2", entry("engines", "upp-a", 102)),
                ("roster-1", entry("roster", "upp-a", 201)),
                ("roster-2", entry("roster", "upp-a", 202)),
            ];
            let mut host = empty_host("host-01", "upp-a", 1);
            populate(&mut host, START_MS, &targets);
            let effects = receive_request(&mut host, START_MS, 1, incoming_request(kind));
            let target = dispatches(&effects)[0].target.clone();
            let mut later = match silent {
                Silent::Target => {
                    let reply = Reply::TargetFeed {
                        store_version: 12,
                        changes: vec![change(target.as_str(), 12, None)],
                    };
                    let query = Query::TargetFeed { after: 10 };
                    answer(&mut host, START_MS + 10, query, reply)
                }
                Silent::Store => Vec::new(),
                Silent::Peer => {
                    let load = Load {
                        runs: 3,
                        tokens: 9_000,
                        ..Load::default()
                    };
                    let message = message_of_peer(vec![(target.clone(), load)]);
                    let event = Event::MessageReceived(Box::new(message));
                    apply(&mut host, START_MS + 10, event)
                }
            };
            for now_ms in (START_MS + 25..START_MS + 5_500).step_by(25) {
                let effects = apply(&mut host, now_ms, Event::Tick);
                for effect in &effects {
                    if let Effect::QueryStore(query) = effect {
                        let failed = Reply::Failed;
                        later.extend(answer(&mut host, now_ms, *query, failed));
                    }
                }
                later.extend(effects);
            }
            let is_repeated_or_given_up = |effect: &&Effect| {
                matches!(
                    effect,
                    Effect::Dispatch(_) | Effect::HandOff(_) | Effect::Refuse { .. }
                )
            };
            let found = later.iter().find(is_repeated_or_given_up);
            assert!(found.is_none(), "{name}: {found:?}");
            let answered = Event::AttemptEnded {
                request_number: RequestNumber(1),
                outcome: AttemptOutcome::Answered { took_ms: 5_000 },
            };
            let effects = apply(&mut host, START_MS + 5_500, answered);
            let is_forwarded = effects
                .iter()
                .any(|effect| matches!(effect, Effect::ForwardAnswer { .. }));
            assert!(is_forwarded, "{name}: {effects:?}");
        }
    }
}

fn message_of_peer(loads: Vec<(TargetName, Load)>) -> Message {
    let mut peer = empty_host("host-02", "upp-a", 2);
    populate(&mut peer, START_MS, &[]);
    let reply = Reply::Hosts(vec![address(1)]);
    answer(&mut peer, START_MS, Query::Hosts, reply);
    let effects = apply(&mut peer, START_MS + 2_000, Event::Tick);
    let (_, message) = messages(&effects).swap_remove(0);
    Message { loads, ..message }
}
