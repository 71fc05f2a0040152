//! One host's part in the limits, event by event.

use std::net::SocketAddr;
use std::sync::Arc;

use toucancleat_core::homes::{HomeKey, rank};
use toucancleat_core::limits::{
    Ask, Config, Effect, Event, FleetLimits, Grant, Held, LoanAsk, Message, Share, State,
    reduce,
};
use toucancleat_core::membership::Host;
use toucancleat_core::prelude::*;

const ORGANISATION: &str = "federation";
const LIMIT: Share = Share {
    millirequests_per_s: 40_000,
    concurrent: 40,
};
/// The limit's part of the one of two zones that is tested.
const ZONE_SHARE: Share = Share {
    millirequests_per_s: 20_000,
    concurrent: 20,
};

/// A host with the means to ask it for everything.
struct Single {
    state: State,
    now_ms: u64,
    asked: u64,
}

impl Single {
    fn new(own: &str) -> Self {
        let own = HostName::new(own);
        let zone = ZoneName::new("kumamoto");
        let now_ms = 1_000_000;
        let mut state = State::new(Config::default(), own, zone.clone(), now_ms, 1);
        let mut limits = FleetLimits::default();
        limits.zones.extend([zone, ZoneName::new("fukuoka-a")]);
        limits.limits.insert(organisation(), LIMIT);
        let limits = Arc::new(limits);
        reduce(
            &mut state,
            now_ms,
            Event::Settings { limits },
            &mut Vec::new(),
        );
        Single {
            state,
            now_ms,
            asked: 0,
        }
    }

    fn event(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        reduce(&mut self.state, self.now_ms, event, &mut effects);
        effects
    }

    fn received(&mut self, from: &str, message: Message) -> Vec<Effect> {
        let from = HostName::new(from);
        self.event(Event::Received { from, message })
    }

    fn view(&mut self, view: u64, live: &[&str], missing: usize) {
        let live = live.iter().map(|name| host(name)).collect();
        let missing = Some(missing);
        self.event(Event::Hosts {
            view,
            live,
            leaving: Vec::new(),
            missing,
        });
    }

    /// Lets time pass with its ticks.
    fn wait_ms(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms = end_ms.min(self.now_ms + 100);
            self.event(Event::Tick);
        }
    }

    /// Asks as another host would, for more than there is; returns what it is granted.
    fn ask_as(&mut self, from: &str, holds_sequence: u64, held: Share) -> Share {
        self.asked += 1;
        let remaining_ms = if held == Share::NONE { 0 } else { 1_000 };
        let ask = Ask {
            organisation: organisation(),
            started_ms: 1,
            sequence: self.asked,
            holds_sequence,
            held: Held {
                organisation: organisation(),
                share: held,
                remaining_ms,
                in_use: 0,
            },
            wanted: LIMIT,
            waiting: 0,
        };
        let effects = self.received(from, Message::Ask(ask));
        let grant = effects.iter().find_map(|effect| match effect {
            Effect::Send {
                message: Message::Grant(grant),
                ..
            } => Some(grant.share),
            _ => None,
        });
        grant.unwrap_or(Share::NONE)
    }
}

fn organisation() -> OrganisationName {
    OrganisationName::new(ORGANISATION)
}

fn host(name: &str) -> Host {
    Host {
        name: HostName::new(name),
        zone: ZoneName::new("kumamoto"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: Incarnation(1),
    }
}

/// Returns the organisation's home among three hosts, the home without it, and the third.
fn homes() -> [&'static str; 3] {
    let hosts = ["entry-1", "entry-2", "entry-3"].map(host);
    let key = HomeKey::Organisation(organisation());
    let ranked = rank(&key, &hosts, hosts.len());
    let name = |host: &Host| match host.name.as_str() {
        "entry-1" => "entry-1",
        "entry-2" => "entry-2",
        _ => "entry-3",
    };
    [name(ranked[0]), name(ranked[1]), name(ranked[2])]
}

fn wait_of_a_new_home_ms() -> u64 {
    let config = Config::default();
    config.term_ms + config.margin_ms + config.view_lag_ms
}

fn part(share: Share, rate_part: u64) -> u64 {
    share.millirequests_per_s / rate_part
}

#[test]
fn a_new_home_lends_what_it_may_know_to_be_free() {
    struct Case {
        name: &'static str,
        /// View in which the third host says what it holds.
        told_in: Option<u64>,
        missing: usize,
        waited_ms: u64,
        rate: u64,
    }
    let wait_ms = wait_of_a_new_home_ms();
    let whole = ZONE_SHARE.millirequests_per_s;
    let cases = [
        Case {
            name: "untold",
            told_in: None,
            missing: 0,
            waited_ms: wait_ms - 1,
            rate: 0,
        },
        Case {
            name: "one is missing",
            told_in: Some(2),
            missing: 1,
            waited_ms: wait_ms - 1,
            rate: 0,
        },
        Case {
            name: "told by all: but for what may be lent to other zones",
            told_in: Some(2),
            missing: 0,
            waited_ms: 100,
            rate: whole / 2,
        },
        Case {
            name: "told in an earlier view, in which other grants may have followed",
            told_in: Some(1),
            missing: 0,
            waited_ms: 100,
            rate: 0,
        },
        Case {
            name: "waited",
            told_in: None,
            missing: 0,
            waited_ms: wait_ms,
            rate: whole,
        },
        Case {
            name: "waited, but one of three may follow another home",
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

/// A home alone in its zone with all its rights.
fn settled_home() -> Single {
    let mut home = Single::new("entry-1");
    home.view(1, &["entry-1"], 0);
    home.wait_ms(wait_of_a_new_home_ms() + Config::default().longest_answer_ms);
    home
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
fn what_is_lent_to_a_zone_is_taken_off_first() {
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
        Some(part(ZONE_SHARE, 2))
    );
    assert_eq!(
        lent(&home.received("entry-9", loan_ask(2, 8))),
        None,
        "no more than half"
    );
    let granted = home.ask_as("entry-2", 0, Share::NONE);
    assert_eq!(
        granted.millirequests_per_s,
        part(ZONE_SHARE, 2),
        "the other half"
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
        ZONE_SHARE.concurrent / 2,
        "its answers may go on"
    );
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
    };
    let effects = holder.received(first, Message::Grant(grant));
    assert_eq!(effects, [Effect::Admitted { request }]);
    holder.wait_ms(Config::default().release_ms);
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
