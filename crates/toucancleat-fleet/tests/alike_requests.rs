//! Requests that are alike, before engines that crash for a reason of their own.

mod support;

use support::crashing::CrashingFleet;

/// Time after which a crash of engines must not show any more.
const RECOVERY_MS: u64 = 6_000;

/// Guards against requests that are refused since engines crashed at once under several that are alike,
/// as in review/7 and review/11.
#[test]
fn alike_requests_begin_after_all_engines_crashed_at_once() {
    struct Case {
        name: &'static str,
        kind: &'static str,
        /// Time from the first event to the last.
        length_ms: u64,
        /// Time without requests, and of requests after that, before the crash.
        pause_ms: u64,
        busy_ms: u64,
    }
    let cases = [
        Case {
            name: "short streams",
            kind: "check",
            length_ms: 600,
            pause_ms: 0,
            busy_ms: 4_000,
        },
        Case {
            name: "long streams",
            kind: "draft",
            length_ms: 4_000,
            pause_ms: 0,
            busy_ms: 4_000,
        },
        Case {
            name: "requests without events",
            kind: "check",
            length_ms: 0,
            pause_ms: 0,
            busy_ms: 4_000,
        },
        Case {
            name: "a burst after a quiet time",
            kind: "check",
            length_ms: 600,
            pause_ms: 10_000,
            busy_ms: 400,
        },
    ];
    for case in cases {
        let mut simulation = CrashingFleet::new(3, 12, &["upp-a", "upp-b"], 7);
        simulation.engines_keep_names = true;
        simulation.fingerprint = Some(77);
        let run_for = |simulation: &mut CrashingFleet, time_ms: u64| {
            let end_ms = simulation.fleet.now_ms + time_ms;
            while simulation.fleet.now_ms < end_ms {
                if simulation.is_due(15.0) {
                    simulation.send(case.kind, Vec::new(), case.length_ms, false);
                }
                simulation.step();
            }
        };
        run_for(&mut simulation, 4_000);
        let resumed_ms = simulation.fleet.now_ms + case.pause_ms;
        while simulation.fleet.now_ms < resumed_ms {
            simulation.step();
        }
        run_for(&mut simulation, case.busy_ms);
        for zone in ["upp-a", "upp-b"] {
            for target in simulation.engines_of(zone) {
                simulation.crash(&target);
            }
        }
        let crashed_ms = simulation.fleet.now_ms;
        run_for(&mut simulation, RECOVERY_MS + 10_000);
        let end_ms = simulation.fleet.now_ms;
        let begun = simulation.begun_share(crashed_ms + RECOVERY_MS, end_ms - 1_000);
        assert!(
            begun >= 0.5,
            "{}: {begun:.2} of the requests began",
            case.name
        );
    }
}
