//! Requests that crash the targets that run them.

mod support;

use support::fleet::Fleet;
use support::*;
use toucancleat_fleet::crashers::{INTERRUPTIONS_MAX, PoisonRequests, RETENTION_MS};
use toucancleat_fleet::event::Effect;
use toucancleat_fleet::prelude::*;

const FINGERPRINT: u64 = 77;

/// What happens to one fingerprint.
#[derive(Clone, Copy)]
enum Step {
    Interrupted,
    Answered,
    /// Another host tells that it broke off so often there.
    PeerReports(u32),
    TimePasses(u64),
}

#[test]
fn a_content_is_refused_by_what_its_runs_came_to() {
    use Step::*;
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        is_refused: bool,
    }
    let cases = [
        Case {
            name: "two breaks may be an accident",
            steps: &[Interrupted, Interrupted],
            is_refused: false,
        },
        Case {
            name: "three breaks here",
            steps: &[Interrupted, Interrupted, Interrupted],
            is_refused: true,
        },
        Case {
            name: "one here and two elsewhere",
            steps: &[PeerReports(2), Interrupted],
            is_refused: true,
        },
        Case {
            name: "an answer between them",
            steps: &[Interrupted, Interrupted, Answered, Interrupted],
            is_refused: false,
        },
        Case {
            name: "an answer here, while others still tell of breaks",
            steps: &[PeerReports(3), Answered, PeerReports(3)],
            is_refused: false,
        },
        Case {
            name: "long ago",
            steps: &[
                Interrupted,
                Interrupted,
                Interrupted,
                TimePasses(RETENTION_MS),
            ],
            is_refused: false,
        },
        Case {
            name: "a host that told of it is long gone",
            steps: &[PeerReports(3), TimePasses(RETENTION_MS)],
            is_refused: false,
        },
    ];
    for case in cases {
        let mut requests = PoisonRequests::default();
        let mut now_ms = START_MS;
        for step in case.steps {
            match *step {
                Interrupted => requests.record_interruption(now_ms, FINGERPRINT),
                Answered => requests.record_answer(now_ms, FINGERPRINT),
                PeerReports(count) => {
                    let host = HostName::new("host-2");
                    requests.record_peer(now_ms, host, &[(FINGERPRINT, count)]);
                }
                TimePasses(time_ms) => now_ms += time_ms,
            }
        }
        let is_refused = requests.is_refused(now_ms, FINGERPRINT);
        assert_eq!(is_refused, case.is_refused, "{}", case.name);
    }
}

/// Lets a request arrive at a host and break off at each target that runs it; returns how
/// many targets ran it, and the refusals.
fn crash(fleet: &mut Fleet, index: usize, ticket: u64) -> (u32, Vec<Refusal>) {
    let now_ms = fleet.now_ms;
    let request = Arrival {
        fingerprint: FINGERPRINT,
        ..arrival("lookup")
    };
    let mut effects = arrive(&mut fleet.hosts[index], now_ms, ticket, request);
    let mut runs = 0;
    while let Some(Effect::Dispatch(dispatch)) = effects
        .iter()
        .find(|effect| matches!(effect, Effect::Dispatch(_)))
    {
        runs += 1;
        let ended = Event::AttemptEnded {
            ticket: dispatch.ticket,
            outcome: Outcome::Broken,
        };
        fleet.execute(index, effects, true);
        effects = apply(&mut fleet.hosts[index], now_ms, ended);
    }
    let refusals = refusals(&effects);
    fleet.execute(index, effects, true);
    let closed = Event::Closed {
        ticket: Ticket(ticket),
    };
    apply(&mut fleet.hosts[index], now_ms, closed);
    (runs, refusals)
}

/// Its caller sends it again and again, each time to another host.
#[test]
fn a_request_that_crashes_its_targets_is_refused_by_all_hosts() {
    let targets: Vec<(String, _)> = (1..=6)
        .map(|n| (format!("roster-{n}"), entry("roster", "upp-a", 200 + n)))
        .collect();
    let named: Vec<(&str, _)> = targets
        .iter()
        .map(|(name, entry)| (name.as_str(), entry.clone()))
        .collect();
    let mut fleet = Fleet::new(4, &["upp-a"], &named);
    let mut runs = 0;
    let mut last = Vec::new();
    for ticket in 0..8 {
        let (more, refusals) = crash(&mut fleet, ticket as usize % 4, ticket);
        runs += more;
        last = refusals;
        fleet.advance(2_000);
    }
    assert_eq!(runs, INTERRUPTIONS_MAX);
    assert_eq!(last[0].reason, Reason::CrashesTargets);
    assert_eq!(last[0].verdict, Verdict::NotRun);
    let now_ms = fleet.now_ms;
    let other = arrive(&mut fleet.hosts[0], now_ms, 99, arrival("lookup"));
    assert_eq!(dispatches(&other).len(), 1, "another request is served");
}
