//! Explores the specifications within larger bounds than the tests do, as a Markdown table.

use std::hash::Hash;
use std::io::Write;
use std::time::Instant;

use toucancleat_model::{Exploration, claims, delivery, explore, orders, settings};

fn main() {
    let mut out = std::io::stdout();
    let _ = writeln!(out, "| specification | bounds | states | seconds | holds |");
    let _ = writeln!(out, "| --- | --- | --- | --- | --- |");
    for (requests, crashes) in [(&[2, 2][..], 1), (&[1, 1, 1], 0)] {
        let config = claims::Config {
            requests,
            crashes,
            broken: None,
        };
        let initial = claims::State::new(&config);
        let next = |state: &_| claims::next(&config, state);
        let bounds = format!("requests {requests:?}, crashes {crashes}");
        line("claims", &bounds, || {
            explore(&initial, next, claims::State::violation)
        });
    }
    for idempotent in [true, false] {
        let config = delivery::Config {
            tokens: 8,
            attempts_max: 4,
            resumes_max: 2,
            crashes: 4,
            idempotent,
            whole: false,
            broken: None,
        };
        let initial = delivery::State::new(&config);
        let next = |state: &_| delivery::next(&config, state);
        let bounds = format!("8 tokens, 4 attempts, 4 crashes, idempotent {idempotent}");
        let violation = |state: &delivery::State| state.violation(&config);
        line("delivery", &bounds, || explore(&initial, next, violation));
    }
    for (operators, hosts, crashes) in [(4, 2, 1), (3, 3, 1)] {
        let config = settings::Config {
            operators,
            hosts,
            crashes,
            broken: None,
        };
        let initial = settings::State::new(&config);
        let next = |state: &_| settings::next(&config, state);
        let bounds = format!("{operators} operators, {hosts} hosts, {crashes} crash");
        line("settings", &bounds, || {
            explore(&initial, next, settings::State::violation)
        });
    }
    for (time_max, losses, crashes, changes) in [(7, 1, 0, 0), (5, 1, 1, 1)] {
        let config = orders::Config {
            lease: 2,
            deadline: 2,
            time_max,
            losses,
            crashes,
            changes,
            checks_fencing: false,
            broken: None,
        };
        let initial = orders::State::new(&config);
        let next = |state: &_| orders::next(&config, state);
        let bounds = format!(
            "{time_max} units, {losses} loss, {crashes} crash, {changes} hand-over"
        );
        let violation = |state: &orders::State| state.violation(&config);
        line("orders", &bounds, || explore(&initial, next, violation));
    }
}

fn line<S: Clone + Eq + Hash, A: Clone>(
    name: &str,
    bounds: &str,
    run: impl FnOnce() -> Exploration<S, A>,
) {
    let begun = Instant::now();
    let explored = run();
    let seconds = begun.elapsed().as_secs_f64();
    let holds = if explored.counterexample.is_none() {
        "yes"
    } else {
        "NO"
    };
    let states = explored.states;
    let _ = writeln!(
        std::io::stdout(),
        "| `{name}` | {bounds} | {states} | {seconds:.0} | {holds} |"
    );
}
