//! What a host may use, and until when.

use toucancleat_core::limits::{Ask, Config, Effect, Event, Grant, Message, Share};
use toucancleat_core::prelude::*;

use super::*;

#[test]
fn a_grant_ends_a_term_after_its_question_and_only_counts_from_the_home() {
    let [first, second, third] = homes();
    struct Case {
        name: &'static str,
        late_ms: u64,
        home_changes: bool,
        usable_ms: u64,
    }
    let term_ms = Config::default().term_ms;
    let cases = [
        Case {
            name: "prompt",
            late_ms: 0,
            home_changes: false,
            usable_ms: term_ms,
        },
        Case {
            name: "late",
            late_ms: 5_000,
            home_changes: false,
            usable_ms: term_ms - 5_000,
        },
        Case {
            name: "too late",
            late_ms: term_ms,
            home_changes: false,
            usable_ms: 0,
        },
        Case {
            name: "of an earlier home",
            late_ms: 10,
            home_changes: true,
            usable_ms: 0,
        },
    ];
    for case in cases {
        let mut holder = Single::new(third);
        holder.view(1, &[first, second, third], 0);
        let request = RequestId(1);
        let arrived = Event::Arrived {
            organisation: organisation(),
            request,
        };
        let sequence = holder
            .event(arrived)
            .iter()
            .find_map(|effect| match effect {
                Effect::Send {
                    message: Message::Ask(ask),
                    ..
                } => Some(ask.sequence),
                _ => None,
            });
        if case.home_changes {
            holder.view(2, &[second, third], 1);
        }
        holder.now_ms += case.late_ms;
        let grant = Grant {
            organisation: organisation(),
            sequence: sequence.expect("a question"),
            share: ZONE_SHARE,
            term_ms,
            tokens_millirequests: 0,
            is_early: false,
        };
        holder.received(first, Message::Grant(grant));
        let usable = |ms: u64| holder.state.usable(holder.now_ms + ms, &organisation());
        let before = case.usable_ms.checked_sub(1).map(usable);
        assert!(
            before.is_none_or(|share| share == ZONE_SHARE),
            "{}",
            case.name
        );
        assert_eq!(usable(case.usable_ms), Share::NONE, "{}", case.name);
    }
}

#[test]
fn a_share_without_requests_is_given_back() {
    let [first, _, third] = homes();
    let mut holder = Single::new(third);
    holder.view(1, &["entry-1", "entry-2", "entry-3"], 0);
    let request = RequestId(1);
    let effects = holder.event(Event::Arrived {
        organisation: organisation(),
        request,
    });
    let asked = |effects: &[Effect]| {
        effects.iter().find_map(|effect| match effect {
            Effect::Send {
                message: Message::Ask(ask),
                ..
            } => Some(ask.clone()),
            _ => None,
        })
    };
    let grant = Grant {
        organisation: organisation(),
        sequence: asked(&effects).expect("a question").sequence,
        share: ZONE_SHARE,
        term_ms: Config::default().term_ms,
        tokens_millirequests: 1_000,
        is_early: false,
    };
    let effects = holder.received(first, Message::Grant(grant));
    assert_eq!(effects, [Effect::Admitted { request }]);
    holder.wait_ms(Config::default().idle_release_ms);
    assert_eq!(
        holder.state.usable(holder.now_ms, &organisation()),
        ZONE_SHARE
    );
    holder.event(Event::Finished {
        organisation: organisation(),
    });
    let release = asked(&holder.event(Event::Tick)).expect("a last word");
    assert_eq!(release.wanted, Share::NONE);
    assert_eq!(
        holder.state.usable(holder.now_ms, &organisation()),
        Share::NONE
    );

    let mut home = settled_home();
    assert_eq!(home.ask_as("entry-2", 0, Share::NONE), ZONE_SHARE);
    assert_eq!(home.ask_as("entry-3", 0, Share::NONE), Share::NONE);
    let sequence = home.asked + 1;
    let release = Ask {
        sequence,
        holds_sequence: sequence,
        started_ms: 1,
        ..release
    };
    home.received("entry-2", Message::Ask(release));
    let granted = home.ask_as("entry-3", 0, Share::NONE);
    assert_eq!(granted.concurrent, ZONE_SHARE.concurrent);
}

#[test]
fn a_home_uses_its_own_share_once_its_successor_has_noted_it() {
    struct Case {
        name: &'static str,
        live: usize,
        noted_in: Option<u64>,
        admitted: bool,
    }
    let cases = [
        Case {
            name: "alone in the zone",
            live: 1,
            noted_in: None,
            admitted: true,
        },
        Case {
            name: "not noted",
            live: 3,
            noted_in: None,
            admitted: false,
        },
        Case {
            name: "noted",
            live: 3,
            noted_in: Some(1),
            admitted: true,
        },
        Case {
            name: "noted in another view",
            live: 3,
            noted_in: Some(2),
            admitted: false,
        },
    ];
    for case in cases {
        let [first, second, third] = homes();
        let mut home = Single::new(first);
        home.view(1, &[first, second, third][..case.live], 0);
        home.wait_ms(wait_of_a_new_home_ms() + Config::default().longest_answer_ms);
        let request = RequestId(1);
        let mut effects = home.event(Event::Arrived {
            organisation: organisation(),
            request,
        });
        let sequence = effects.iter().find_map(|effect| match effect {
            Effect::Send {
                to,
                message: Message::Witness(witness),
            } => {
                assert_eq!(to.as_str(), second, "{}", case.name);
                Some(witness.ask.sequence)
            }
            _ => None,
        });
        if let Some(view) = case.noted_in {
            let (organisation, sequence) = (organisation(), sequence.expect("a witness"));
            let message = Message::Witnessed {
                view,
                organisation,
                sequence,
            };
            effects = home.received(second, message);
        }
        let admitted = effects.contains(&Effect::Admitted { request });
        assert_eq!(admitted, case.admitted, "{}", case.name);
        let usable = home.state.usable(home.now_ms, &organisation());
        assert_eq!(usable != Share::NONE, case.admitted, "{}", case.name);
    }
}

#[test]
fn a_request_waits_for_a_home_that_is_new_and_is_refused_when_that_lasts() {
    struct Case {
        name: &'static str,
        is_early: bool,
        waits: bool,
    }
    let cases = [
        Case {
            name: "a settled home has nothing left",
            is_early: false,
            waits: false,
        },
        Case {
            name: "a new home knows too little yet",
            is_early: true,
            waits: true,
        },
    ];
    for case in cases {
        let [first, second, third] = homes();
        let mut holder = Single::new(third);
        holder.view(1, &[first, second, third], 0);
        let request = RequestId(1);
        let asked = holder.event(Event::Arrived {
            organisation: organisation(),
            request,
        });
        let nothing = |sequence| Grant {
            organisation: organisation(),
            sequence,
            share: Share::NONE,
            term_ms: Config::default().term_ms,
            tokens_millirequests: 0,
            is_early: case.is_early,
        };
        let sequence = question(&asked).expect("a question");
        let effects = holder.received(first, Message::Grant(nothing(sequence)));
        assert_eq!(!is_refused(&effects), case.waits, "{}", case.name);
        if !case.waits {
            continue;
        }
        let until_ms = holder.now_ms + Config::default().answer_wait_ms;
        let mut refused = false;
        while !refused && holder.now_ms <= until_ms + 1_000 {
            holder.now_ms += 50;
            let effects = holder.event(Event::Tick);
            refused = is_refused(&effects);
            if let Some(sequence) = question(&effects) {
                let effects = holder.received(first, Message::Grant(nothing(sequence)));
                refused |= is_refused(&effects);
            }
        }
        assert!(refused, "{}: refused in the end", case.name);
        assert!(
            holder.now_ms >= until_ms,
            "{}: not before its time",
            case.name
        );
    }
}

fn question(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send {
            message: Message::Ask(ask),
            ..
        } => Some(ask.sequence),
        _ => None,
    })
}

fn is_refused(effects: &[Effect]) -> bool {
    let refused = |effect: &Effect| matches!(effect, Effect::Refused { .. });
    effects.iter().any(refused)
}
