//! Explores the specifications within larger bounds than the tests do.
//!
//! Prints a Markdown table of the number of states, the duration and the result.

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
            crashes_max: crashes,
            mutation: None,
        };
        let initial = claims::State::new(&config);
        let next_states = |state: &_| claims::next_states(&config, state);
        let bounds = format!("requests {requests:?}, crashes {crashes}");
        print_row("claims", &bounds, || {
            explore(&initial, next_states, claims::State::violation)
        });
    }
    for idempotent in [true, false] {
        let config = delivery::Config {
            tokens: 8,
            attempts_max: 4,
            resumes_max: 2,
            crashes_max: 4,
            is_idempotent: idempotent,
            is_buffered: false,
            mutation: None,
        };
        let initial = delivery::State::new(&config);
        let next_states = |state: &_| delivery::next_states(&config, state);
        let bounds = format!("8 tokens, 4 attempts, 4 crashes, idempotent {idempotent}");
        let violation = |state: &delivery::State| state.violation(&config);
        print_row("delivery", &bounds, || {
            explore(&initial, next_states, violation)
        });
    }
    for (operators, hosts, crashes) in [(4, 2, 1), (3, 3, 1)] {
        let config = settings::Config {
            operators,
            hosts,
            crashes_max: crashes,
            mutation: None,
        };
        let initial = settings::State::new(&config);
        let next_states = |state: &_| settings::next_states(&config, state);
        let bounds = format!("{operators} operators, {hosts} hosts, {crashes} crash");
        print_row("settings", &bounds, || {
            explore(&initial, next_states, settings::State::violation)
        });
    }
    for (time_max, losses, crashes, changes) in [(7, 1, 0, 0), (5, 1, 1, 1)] {
        let config = orders::Config {
            lease_units: 2,
            deadline_units: 2,
            time_max,
            losses_max: losses,
            crashes_max: crashes,
            candidate_changes_max: changes,
            checks_fencing: false,
            mutation: None,
        };
        let initial = orders::State::new(&config);
        let next_states = |state: &_| orders::next_states(&config, state);
        let bounds = format!(
            "{time_max} units, {losses} loss, {crashes} crash, {changes} hand-over"
        );
        let violation = |state: &orders::State| state.violation(&config);
        print_row("orders", &bounds, || {
            explore(&initial, next_states, violation)
        });
    }
}

fn print_row<S: Clone + Eq + Hash, A: Clone>(
    name: &str,
    bounds: &str,
    exploration: impl FnOnce() -> Exploration<S, A>,
) {
    let started_at = Instant::now();
    let explored = exploration();
    let seconds = started_at.elapsed().as_secs_f64();
    let holds = if explored.counterexample.is_none() {
        "yes"
    } else {
        "NO"
    };
    let states = explored.state_count;
    let _ = writeln!(
        std::io::stdout(),
        "| `{name}` | {bounds} | {states} | {seconds:.0} | {holds} |"
    );
}
