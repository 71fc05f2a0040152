//! Tests of the shares that a host may use and of their expiry.

use toucancleat_core::limits::{
    Config, Effect, Event, Message, Share, ShareGrant, ShareRequest,
};
use toucancleat_core::prelude::*;

use super::*;

#[test]
fn a_grant_expires_a_term_after_its_request_and_is_void_after_a_change_of_home() {
    let [first, second, third] = ranked_hosts();
    struct Case {
        name: &'static str,
        delay_ms: u64,
        has_home_changed: bool,
        usable_ms: u64,
    }
    let term_ms = Config::default().term_ms;
    let cases = [
        Case {
            name: "delivered at once",
            delay_ms: 0,
            has_home_changed: false,
            usable_ms: term_ms,
        },
        Case {
            name: "delivered late",
            delay_ms: 5_000,
            has_home_changed: false,
            usable_ms: term_ms - 5_000,
        },
        Case {
            name: "delivered after its term",
            delay_ms: term_ms,
            has_home_changed: false,
            usable_ms: 0,
        },
        Case {
            name: "sent by an earlier home",
            delay_ms: 10,
            has_home_changed: true,
            usable_ms: 0,
        },
    ];
    for case in cases {
        let mut holder = SingleHost::new(third);
        holder.apply_view(1, &[first, second, third], 0);
        let request = RequestId(1);
        let arrived = Event::AcquirePermit {
            organisation: organisation(),
            request,
        };
        let sequence =
            holder
                .apply_event(arrived)
                .iter()
                .find_map(|effect| match effect {
                    Effect::Send {
                        message: Message::ShareRequest(request),
                        ..
                    } => Some(request.sequence),
                    _ => None,
                });
        if case.has_home_changed {
            holder.apply_view(2, &[second, third], 1);
        }
        holder.now_ms += case.delay_ms;
        let grant = ShareGrant {
            organisation: organisation(),
            sequence: sequence.expect("a share request was sent"),
            share: ZONE_SHARE,
            term_ms,
            tokens_millirequests: 0,
            is_unsettled: false,
        };
        holder.receive(first, Message::ShareGrant(grant));
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
fn a_share_without_requests_is_given_back_to_the_home() {
    let [first, _, third] = ranked_hosts();
    let mut holder = SingleHost::new(third);
    holder.apply_view(1, &["entry-1", "entry-2", "entry-3"], 0);
    let request = RequestId(1);
    let effects = holder.apply_event(Event::AcquirePermit {
        organisation: organisation(),
        request,
    });
    let sent_request = |effects: &[Effect]| {
        effects.iter().find_map(|effect| match effect {
            Effect::Send {
                message: Message::ShareRequest(request),
                ..
            } => Some(request.clone()),
            _ => None,
        })
    };
    let grant = ShareGrant {
        organisation: organisation(),
        sequence: sent_request(&effects)
            .expect("a share request was sent")
            .sequence,
        share: ZONE_SHARE,
        term_ms: Config::default().term_ms,
        tokens_millirequests: 1_000,
        is_unsettled: false,
    };
    let effects = holder.receive(first, Message::ShareGrant(grant));
    assert_eq!(effects, [Effect::PermitGranted { request }]);
    holder.wait_ms(Config::default().idle_release_ms);
    assert_eq!(
        holder.state.usable(holder.now_ms, &organisation()),
        ZONE_SHARE
    );
    holder.apply_event(Event::ReleasePermit {
        organisation: organisation(),
    });
    let release =
        sent_request(&holder.apply_event(Event::Tick)).expect("a release was sent");
    assert_eq!(release.wanted, Share::NONE);
    assert_eq!(
        holder.state.usable(holder.now_ms, &organisation()),
        Share::NONE
    );

    let mut home = settled_home();
    assert_eq!(home.request_share_as("entry-2", 0, Share::NONE), ZONE_SHARE);
    assert_eq!(
        home.request_share_as("entry-3", 0, Share::NONE),
        Share::NONE
    );
    let sequence = home.last_sequence + 1;
    let release = ShareRequest {
        sequence,
        granted_sequence: sequence,
        started_ms: 1,
        ..release
    };
    home.receive("entry-2", Message::ShareRequest(release));
    let granted = home.request_share_as("entry-3", 0, Share::NONE);
    assert_eq!(granted.concurrent, ZONE_SHARE.concurrent);
}

#[test]
fn a_home_uses_its_own_share_only_after_its_successor_has_recorded_it() {
    struct Case {
        name: &'static str,
        live: usize,
        witnessed_view: Option<u64>,
        is_admitted: bool,
    }
    let cases = [
        Case {
            name: "the only host of the zone",
            live: 1,
            witnessed_view: None,
            is_admitted: true,
        },
        Case {
            name: "not recorded",
            live: 3,
            witnessed_view: None,
            is_admitted: false,
        },
        Case {
            name: "recorded",
            live: 3,
            witnessed_view: Some(1),
            is_admitted: true,
        },
        Case {
            name: "recorded in another view",
            live: 3,
            witnessed_view: Some(2),
            is_admitted: false,
        },
    ];
    for case in cases {
        let [first, second, third] = ranked_hosts();
        let mut home = SingleHost::new(first);
        home.apply_view(1, &[first, second, third][..case.live], 0);
        home.wait_ms(new_home_wait_ms() + Config::default().max_request_duration_ms);
        let request = RequestId(1);
        let mut effects = home.apply_event(Event::AcquirePermit {
            organisation: organisation(),
            request,
        });
        let sequence = effects.iter().find_map(|effect| match effect {
            Effect::Send {
                to,
                message: Message::Witness(witness),
            } => {
                assert_eq!(to.as_str(), second, "{}", case.name);
                Some(witness.request.sequence)
            }
            _ => None,
        });
        if let Some(view) = case.witnessed_view {
            let (organisation, sequence) = (
                organisation(),
                sequence.expect("a witness message was sent"),
            );
            let message = Message::WitnessAck {
                view,
                organisation,
                sequence,
            };
            effects = home.receive(second, message);
        }
        let is_admitted = effects.contains(&Effect::PermitGranted { request });
        assert_eq!(is_admitted, case.is_admitted, "{}", case.name);
        let usable = home.state.usable(home.now_ms, &organisation());
        assert_eq!(usable != Share::NONE, case.is_admitted, "{}", case.name);
    }
}

#[test]
fn a_request_waits_for_an_unsettled_home_until_its_deadline() {
    struct Case {
        name: &'static str,
        is_unsettled: bool,
        is_waiting: bool,
    }
    let cases = [
        Case {
            name: "a settled home has no share left",
            is_unsettled: false,
            is_waiting: false,
        },
        Case {
            name: "a new home isn't settled yet",
            is_unsettled: true,
            is_waiting: true,
        },
    ];
    for case in cases {
        let [first, second, third] = ranked_hosts();
        let mut holder = SingleHost::new(third);
        holder.apply_view(1, &[first, second, third], 0);
        let request = RequestId(1);
        let effects = holder.apply_event(Event::AcquirePermit {
            organisation: organisation(),
            request,
        });
        let empty_grant = |sequence| ShareGrant {
            organisation: organisation(),
            sequence,
            share: Share::NONE,
            term_ms: Config::default().term_ms,
            tokens_millirequests: 0,
            is_unsettled: case.is_unsettled,
        };
        let sequence =
            share_request_sequence(&effects).expect("a share request was sent");
        let effects = holder.receive(first, Message::ShareGrant(empty_grant(sequence)));
        assert_eq!(!is_refused(&effects), case.is_waiting, "{}", case.name);
        if !case.is_waiting {
            continue;
        }
        let deadline_ms = holder.now_ms + Config::default().permit_wait_max_ms;
        let mut refused = false;
        while !refused && holder.now_ms <= deadline_ms + 1_000 {
            holder.now_ms += 50;
            let effects = holder.apply_event(Event::Tick);
            refused = is_refused(&effects);
            if let Some(sequence) = share_request_sequence(&effects) {
                let effects =
                    holder.receive(first, Message::ShareGrant(empty_grant(sequence)));
                refused |= is_refused(&effects);
            }
        }
        assert!(refused, "{}: the request was not refused", case.name);
        assert!(
            holder.now_ms >= deadline_ms,
            "{}: refused before its deadline",
            case.name
        );
    }
}

fn share_request_sequence(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send {
            message: Message::ShareRequest(request),
            ..
        } => Some(request.sequence),
        _ => None,
    })
}

fn is_refused(effects: &[Effect]) -> bool {
    let refused = |effect: &Effect| matches!(effect, Effect::PermitRefused { .. });
    effects.iter().any(refused)
}
