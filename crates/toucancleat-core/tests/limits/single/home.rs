//! What a home lends, and when.

use toucancleat_core::limits::{
    Ask, Config, Effect, Event, Held, LoanAsk, Message, Share, Witness,
};
use toucancleat_core::prelude::*;

use super::*;

#[test]
fn a_new_home_lends_what_it_may_know_to_be_free() {
    struct Case {
        name: &'static str,
        /// Whether the earlier home has said what it holds itself.
        home_told: bool,
        /// View in which the third host says what it holds.
        told_in: Option<u64>,
        missing: usize,
        waited_ms: u64,
        rate: u64,
    }
    let wait_ms = wait_of_a_new_home_ms();
    let whole = ZONE_SHARE.millirequests_per_s;
    let lendable = whole / Config::default().lendable_divisor;
    let cases = [
        Case {
            name: "untold",
            home_told: false,
            told_in: None,
            missing: 0,
            waited_ms: wait_ms - 1,
            rate: 0,
        },
        Case {
            name: "one is missing",
            home_told: false,
            told_in: Some(2),
            missing: 1,
            waited_ms: wait_ms - 1,
            rate: 0,
        },
        Case {
            name: "told by all: but for what may be lent to other zones",
            home_told: false,
            told_in: Some(2),
            missing: 0,
            waited_ms: 100,
            rate: whole - lendable,
        },
        Case {
            name: "what the missing home held is known",
            home_told: true,
            told_in: Some(2),
            missing: 1,
            waited_ms: 100,
            rate: whole * 2 / 3 - lendable - WITNESSED.millirequests_per_s,
        },
        Case {
            name: "what the missing home held is known, but another is missing, too",
            home_told: true,
            told_in: Some(2),
            missing: 2,
            waited_ms: 100,
            rate: 0,
        },
        Case {
            name: "told in an earlier view, in which other grants may have followed",
            home_told: false,
            told_in: Some(1),
            missing: 0,
            waited_ms: 100,
            rate: 0,
        },
        Case {
            name: "waited",
            home_told: false,
            told_in: None,
            missing: 0,
            waited_ms: wait_ms,
            rate: whole,
        },
        Case {
            name: "waited, but one of three may follow another home",
            home_told: false,
            told_in: None,
            missing: 1,
            waited_ms: wait_ms,
            rate: whole * 2 / 3,
        },
    ];
    for case in cases {
        let [first, second, third] = homes();
        let mut home = Single::new(second);
        home.view(1, &[first, second, third], 0);
        home.wait_ms(60_000);
        if case.home_told {
            let held = Vec::new();
            let message = Message::Holdings {
                view: 1,
                started_ms: 1,
                held,
            };
            home.received(first, message);
            home.received(first, Message::Witness(witness(WITNESSED)));
        }
        home.view(2, &[second, third], case.missing);
        if let Some(view) = case.told_in {
            let message = Message::Holdings {
                view,
                started_ms: 1,
                held: Vec::new(),
            };
            home.received(third, message);
        }
        home.wait_ms(case.waited_ms);
        let granted = home.ask_as(third, 0, Share::NONE).millirequests_per_s;
        assert_eq!(granted, case.rate, "{}", case.name);
    }
}

/// What the earlier home has had its successor note.
const WITNESSED: Share = Share {
    millirequests_per_s: 1_000,
    concurrent: 1,
};

fn witness(share: Share) -> Witness {
    let held = Held {
        organisation: organisation(),
        share: Share::NONE,
        remaining_ms: 0,
        in_use: 0,
    };
    let ask = Ask {
        organisation: organisation(),
        started_ms: 1,
        sequence: 1,
        holds_sequence: 0,
        held,
        wanted: share,
        waiting: 1,
    };
    Witness {
        view: 1,
        ask,
        share,
    }
}

#[test]
fn a_silent_host_keeps_what_it_may_still_use() {
    let config = Config::default();
    let term_ms = config.term_ms + config.margin_ms;
    struct Case {
        name: &'static str,
        waited_ms: u64,
        granted: Share,
    }
    let rate_only = Share {
        concurrent: 0,
        ..ZONE_SHARE
    };
    let cases = [
        Case {
            name: "its term runs",
            waited_ms: term_ms - 1,
            granted: Share::NONE,
        },
        Case {
            name: "its answers may go on",
            waited_ms: term_ms,
            granted: rate_only,
        },
        Case {
            name: "its longest answer has ended",
            waited_ms: term_ms + config.longest_answer_ms,
            granted: ZONE_SHARE,
        },
    ];
    for case in cases {
        let mut home = settled_home();
        assert_eq!(home.ask_as("entry-2", 0, Share::NONE), ZONE_SHARE);
        // N.B. With a host missing nobody is known to have ended.
        let view = Event::Hosts {
            view: 1,
            live: vec![host("entry-1")],
            leaving: vec![HostName::new("entry-2")],
            missing: Some(0),
        };
        home.event(view);
        home.wait_ms(case.waited_ms);
        assert_eq!(
            home.ask_as("entry-3", 0, Share::NONE),
            case.granted,
            "{}",
            case.name
        );
    }
}

#[test]
fn a_home_begins_again_when_others_may_have_taken_over() {
    struct Case {
        name: &'static str,
        interrupt: fn(&mut Single),
        lends: bool,
    }
    let cases = [
        Case {
            name: "nothing happened",
            interrupt: |_| {},
            lends: true,
        },
        Case {
            name: "declared dead",
            interrupt: |home| drop(home.event(Event::DeclaredDead)),
            lends: false,
        },
        Case {
            name: "paused",
            interrupt: |home| home.now_ms += 2_000,
            lends: false,
        },
    ];
    for case in cases {
        let mut home = settled_home();
        // N.B. One host is out of reach, so that nobody can tell it that nothing is held.
        home.view(1, &["entry-1"], 1);
        (case.interrupt)(&mut home);
        let granted = home.ask_as("entry-2", 0, Share::NONE);
        assert_eq!(granted.millirequests_per_s > 0, case.lends, "{}", case.name);
    }
}

#[test]
fn what_is_lent_to_a_zone_is_taken_off_first() {
    let divisor = Config::default().lendable_divisor;
    let lendable = Share {
        millirequests_per_s: ZONE_SHARE.millirequests_per_s / divisor,
        concurrent: ZONE_SHARE.concurrent / divisor as u32,
    };
    let mut home = settled_home();
    let loan_ask = |sequence, loan| {
        Message::LoanAsk(LoanAsk {
            organisation: organisation(),
            borrower: ZoneName::new("fukuoka-a"),
            lender: ZoneName::new("kumamoto"),
            loan,
            sequence,
            wanted: LIMIT,
            hops: 0,
        })
    };
    let lent = |effects: &[Effect]| {
        effects.iter().find_map(|effect| match effect {
            Effect::SendZone {
                message: Message::LoanGrant(grant),
                ..
            } => Some(grant.share),
            _ => None,
        })
    };
    let first = lent(&home.received("entry-9", loan_ask(1, 7)));
    assert_eq!(
        first.map(|share| share.millirequests_per_s),
        Some(lendable.millirequests_per_s)
    );
    assert_eq!(
        lent(&home.received("entry-9", loan_ask(2, 8))),
        None,
        "no more than the part"
    );
    let granted = home.ask_as("entry-2", 0, Share::NONE);
    assert_eq!(
        granted.millirequests_per_s,
        ZONE_SHARE.millirequests_per_s - lendable.millirequests_per_s,
        "the rest"
    );

    let config = Config::default();
    home.wait_ms(config.loan_term_ms + config.margin_ms);
    assert_eq!(
        lent(&home.received("entry-9", loan_ask(3, 7))),
        None,
        "it has ended"
    );
    let granted = home.ask_as("entry-2", home.asked, granted);
    assert_eq!(granted.millirequests_per_s, ZONE_SHARE.millirequests_per_s);
    assert_eq!(
        granted.concurrent,
        ZONE_SHARE.concurrent - lendable.concurrent,
        "its answers may go on"
    );
}

#[test]
fn an_old_question_changes_nothing() {
    let ask = |sequence, in_use| {
        let held = Held {
            organisation: organisation(),
            share: ZONE_SHARE,
            remaining_ms: 1_000,
            in_use,
        };
        Message::Ask(Ask {
            organisation: organisation(),
            started_ms: 1,
            sequence,
            holds_sequence: sequence,
            held,
            wanted: Share {
                concurrent: 1,
                ..Share::NONE
            },
            waiting: 0,
        })
    };
    let mut home = settled_home();
    home.received("entry-2", ask(5, 12));
    assert_eq!(home.received("entry-2", ask(4, 0)), [], "late");
    assert_eq!(home.received("entry-2", ask(5, 0)), [], "twice");
    home.received("entry-2", ask(6, 12));
    home.received("entry-2", ask(5, 0));
    let granted = home.ask_as("entry-3", 0, Share::NONE);
    assert!(
        granted.concurrent <= ZONE_SHARE.concurrent - 12,
        "{granted:?}"
    );
}
