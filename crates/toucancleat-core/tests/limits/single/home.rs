//! Tests of what a home grants, and when.

use toucancleat_core::limits::{
    Config, Effect, Event, HeldShare, LoanRequest, Message, Share, ShareRequest,
    WitnessedShare,
};
use toucancleat_core::prelude::*;

use super::*;

#[test]
fn a_new_home_grants_only_what_it_knows_to_be_free() {
    struct Case {
        name: &'static str,
        /// Whether the earlier home has reported and this host has recorded the home's own
        /// share.
        has_home_reported: bool,
        /// View in which the third host reports what it holds.
        reported_view: Option<u64>,
        missing: usize,
        waited_ms: u64,
        rate: u64,
    }
    let wait_ms = new_home_wait_ms();
    let full_rate = ZONE_SHARE.millirequests_per_s;
    let lendable = full_rate / Config::default().lendable_divisor;
    let cases = [
        Case {
            name: "no host has reported",
            has_home_reported: false,
            reported_view: None,
            missing: 0,
            waited_ms: wait_ms - 1,
            rate: 0,
        },
        Case {
            name: "a host is missing",
            has_home_reported: false,
            reported_view: Some(2),
            missing: 1,
            waited_ms: wait_ms - 1,
            rate: 0,
        },
        Case {
            name: "all hosts have reported: all but what may be lent to other zones",
            has_home_reported: false,
            reported_view: Some(2),
            missing: 0,
            waited_ms: 100,
            rate: full_rate - lendable,
        },
        Case {
            name: "the share of the missing home is known",
            has_home_reported: true,
            reported_view: Some(2),
            missing: 1,
            waited_ms: 100,
            rate: full_rate * 2 / 3 - lendable - WITNESSED.millirequests_per_s,
        },
        Case {
            name: "the share of the missing home is known, but another host is missing",
            has_home_reported: true,
            reported_view: Some(2),
            missing: 2,
            waited_ms: 100,
            rate: 0,
        },
        Case {
            name: "reported in an earlier view, after which more may be granted",
            has_home_reported: false,
            reported_view: Some(1),
            missing: 0,
            waited_ms: 100,
            rate: 0,
        },
        Case {
            name: "the wait has ended",
            has_home_reported: false,
            reported_view: None,
            missing: 0,
            waited_ms: wait_ms,
            rate: full_rate,
        },
        Case {
            name: "the wait has ended, but a missing host may use another home",
            has_home_reported: false,
            reported_view: None,
            missing: 1,
            waited_ms: wait_ms,
            rate: full_rate * 2 / 3,
        },
    ];
    for case in cases {
        let [first, second, third] = ranked_hosts();
        let mut home = SingleHost::new(second);
        home.apply_view(1, &[first, second, third], 0);
        home.wait_ms(60_000);
        if case.has_home_reported {
            let held = Vec::new();
            let message = Message::Holdings {
                view: 1,
                started_ms: 1,
                held,
            };
            home.receive(first, message);
            home.receive(first, Message::Witness(witness(WITNESSED)));
        }
        home.apply_view(2, &[second, third], case.missing);
        if let Some(view) = case.reported_view {
            let message = Message::Holdings {
                view,
                started_ms: 1,
                held: Vec::new(),
            };
            home.receive(third, message);
        }
        home.wait_ms(case.waited_ms);
        let granted = home
            .request_share_as(third, 0, Share::NONE)
            .millirequests_per_s;
        assert_eq!(granted, case.rate, "{}", case.name);
    }
}

/// The share that the earlier home sent to its successor to record.
const WITNESSED: Share = Share {
    millirequests_per_s: 1_000,
    concurrent: 1,
};

fn witness(share: Share) -> WitnessedShare {
    let held = HeldShare {
        organisation: organisation(),
        share: Share::NONE,
        remaining_ms: 0,
        in_use: 0,
    };
    let request = ShareRequest {
        organisation: organisation(),
        started_ms: 1,
        sequence: 1,
        granted_sequence: 0,
        held,
        wanted: share,
        waiting: 1,
    };
    WitnessedShare {
        view: 1,
        request,
        share,
    }
}

#[test]
fn the_share_of_a_silent_host_is_kept_until_its_requests_must_have_ended() {
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
            name: "its term has not ended",
            waited_ms: term_ms - 1,
            granted: Share::NONE,
        },
        Case {
            name: "its requests may still run",
            waited_ms: term_ms,
            granted: rate_only,
        },
        Case {
            name: "its longest request has ended",
            waited_ms: term_ms + config.max_request_duration_ms,
            granted: ZONE_SHARE,
        },
    ];
    for case in cases {
        let mut home = settled_home();
        assert_eq!(home.request_share_as("entry-2", 0, Share::NONE), ZONE_SHARE);
        // N.B. A host that is listed as leaving is not known to have ended, so its requests
        // still count.
        let view = Event::HostsChanged {
            view: 1,
            live: vec![host("entry-1")],
            leaving: vec![HostName::new("entry-2")],
            missing: Some(0),
        };
        home.apply_event(view);
        home.wait_ms(case.waited_ms);
        assert_eq!(
            home.request_share_as("entry-3", 0, Share::NONE),
            case.granted,
            "{}",
            case.name
        );
    }
}

#[test]
fn a_home_resets_when_another_host_may_have_become_home() {
    struct Case {
        name: &'static str,
        interrupt: fn(&mut SingleHost),
        is_granted: bool,
    }
    let cases = [
        Case {
            name: "not interrupted",
            interrupt: |_| {},
            is_granted: true,
        },
        Case {
            name: "declared dead",
            interrupt: |home| drop(home.apply_event(Event::DeclaredDead)),
            is_granted: false,
        },
        Case {
            name: "paused",
            interrupt: |home| home.now_ms += 2_000,
            is_granted: false,
        },
    ];
    for case in cases {
        let mut home = settled_home();
        // N.B. One host is missing, so the reports of the other hosts are not enough to
        // grant shares after a reset.
        home.apply_view(1, &["entry-1"], 1);
        (case.interrupt)(&mut home);
        let granted = home.request_share_as("entry-2", 0, Share::NONE);
        assert_eq!(
            granted.millirequests_per_s > 0,
            case.is_granted,
            "{}",
            case.name
        );
    }
}

#[test]
fn a_loan_reduces_what_the_lender_grants_until_its_requests_have_ended() {
    let divisor = Config::default().lendable_divisor;
    let lendable = Share {
        millirequests_per_s: ZONE_SHARE.millirequests_per_s / divisor,
        concurrent: ZONE_SHARE.concurrent / divisor as u32,
    };
    let mut home = settled_home();
    let loan_request = |sequence, loan| {
        Message::LoanRequest(LoanRequest {
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
    let first = lent(&home.receive("entry-9", loan_request(1, 7)));
    assert_eq!(
        first.map(|share| share.millirequests_per_s),
        Some(lendable.millirequests_per_s)
    );
    assert_eq!(
        lent(&home.receive("entry-9", loan_request(2, 8))),
        None,
        "no more than the lendable part"
    );
    let granted = home.request_share_as("entry-2", 0, Share::NONE);
    assert_eq!(
        granted.millirequests_per_s,
        ZONE_SHARE.millirequests_per_s - lendable.millirequests_per_s,
        "hosts get the rest"
    );

    let config = Config::default();
    home.wait_ms(config.loan_term_ms + config.margin_ms);
    assert_eq!(
        lent(&home.receive("entry-9", loan_request(3, 7))),
        None,
        "an expired loan is not renewed"
    );
    let granted = home.request_share_as("entry-2", home.last_sequence, granted);
    assert_eq!(granted.millirequests_per_s, ZONE_SHARE.millirequests_per_s);
    assert_eq!(
        granted.concurrent,
        ZONE_SHARE.concurrent - lendable.concurrent,
        "requests of the borrower may still run"
    );
}

#[test]
fn an_old_or_duplicated_share_request_changes_nothing() {
    let share_request = |sequence, in_use| {
        let held = HeldShare {
            organisation: organisation(),
            share: ZONE_SHARE,
            remaining_ms: 1_000,
            in_use,
        };
        Message::ShareRequest(ShareRequest {
            organisation: organisation(),
            started_ms: 1,
            sequence,
            granted_sequence: sequence,
            held,
            wanted: Share {
                concurrent: 1,
                ..Share::NONE
            },
            waiting: 0,
        })
    };
    let mut home = settled_home();
    home.receive("entry-2", share_request(5, 12));
    assert_eq!(
        home.receive("entry-2", share_request(4, 0)),
        [],
        "delivered late"
    );
    assert_eq!(
        home.receive("entry-2", share_request(5, 0)),
        [],
        "delivered twice"
    );
    home.receive("entry-2", share_request(6, 12));
    home.receive("entry-2", share_request(5, 0));
    let granted = home.request_share_as("entry-3", 0, Share::NONE);
    assert!(
        granted.concurrent <= ZONE_SHARE.concurrent - 12,
        "{granted:?}"
    );
}
