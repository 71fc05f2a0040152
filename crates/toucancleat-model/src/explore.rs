//! Breadth-first exploration of a specification.

use std::fmt;
use std::hash::Hash;

use indexmap::IndexSet;
use pathfinding::directed::bfs::{bfs, bfs_reach};
use toucancleat_core::rng::Rng;

/// The result of an exploration.
#[derive(Clone, Debug)]
pub struct Exploration<S, A> {
    /// Number of states visited until the end or the first violation.
    pub state_count: usize,
    /// A shortest path to a state that violates an invariant, if there is one.
    pub counterexample: Option<Counterexample<S, A>>,
}

/// A shortest path to a state that violates an invariant.
#[derive(Clone, Debug)]
pub struct Counterexample<S, A> {
    /// The violated invariant.
    pub violation: String,
    /// Each action with the state that follows it.
    pub steps: Vec<(A, S)>,
}

/// Explores every state that can be reached from `initial`.
///
/// `next_states` returns the actions that are enabled in a state, with the states that
/// follow them, and `violation` describes the invariant that a state violates. Exploration
/// stops at the first violation.
pub fn explore<S, A>(
    initial: &S,
    next_states: impl Fn(&S) -> Vec<(A, S)>,
    violation: impl Fn(&S) -> Option<String>,
) -> Exploration<S, A>
where
    S: Clone + Eq + Hash,
    A: Clone,
{
    let successors = |state: &S| next_states(state).into_iter().map(|(_, after)| after);
    let mut state_count = 0;
    for state in bfs_reach(initial.clone(), successors) {
        state_count += 1;
        if violation(&state).is_some() {
            let is_violated = |state: &S| violation(state).is_some();
            let path = bfs(initial, successors, is_violated).unwrap_or_default();
            let counterexample = build_counterexample(&path, &next_states, &violation);
            return Exploration {
                state_count,
                counterexample,
            };
        }
    }
    Exploration {
        state_count,
        counterexample: None,
    }
}

/// Finds a reachable state from which benign actions alone can't lead to a settled state.
///
/// If the benign actions include no faults, such a state means that the protocol is stuck
/// even after all faults have ended. `None` means only that a path to a settled state
/// exists from everywhere, not that the protocol takes it.
pub fn find_stuck_state<S, A>(
    initial: &S,
    next_states: impl Fn(&S) -> Vec<(A, S)>,
    is_benign: impl Fn(&A) -> bool,
    is_settled: impl Fn(&S) -> bool,
) -> Option<S>
where
    S: Clone + Eq + Hash,
{
    let successors = |state: &S| next_states(state).into_iter().map(|(_, after)| after);
    let states: IndexSet<S> = bfs_reach(initial.clone(), successors).collect();
    let mut predecessors = vec![Vec::new(); states.len()];
    for (index, state) in states.iter().enumerate() {
        let benign = next_states(state)
            .into_iter()
            .filter(|(action, _)| is_benign(action));
        for (_, after) in benign {
            let after = states.get_index_of(&after);
            predecessors[after.expect("a reachable state")].push(index);
        }
    }
    let is_settled_state = |index: &usize| is_settled(&states[*index]);
    let mut pending: Vec<_> = (0..states.len()).filter(is_settled_state).collect();
    let mut can_settle = vec![false; states.len()];
    while let Some(index) = pending.pop() {
        if !std::mem::replace(&mut can_settle[index], true) {
            pending.extend(&predecessors[index]);
        }
    }
    let stuck_index = can_settle.iter().position(|can_settle| !can_settle)?;
    states.get_index(stuck_index).cloned()
}

/// Returns a random sequence of at most `steps_max` steps from `initial`.
pub fn random_walk<S, A>(
    initial: &S,
    next_states: impl Fn(&S) -> Vec<(A, S)>,
    rng: &mut Rng,
    steps_max: usize,
) -> Vec<(A, S)>
where
    S: Clone,
    A: Clone,
{
    let mut state = initial.clone();
    let mut steps = Vec::new();
    while steps.len() < steps_max {
        let mut enabled = next_states(&state);
        if enabled.is_empty() {
            break;
        }
        let step = enabled.swap_remove(rng.below(enabled.len()));
        state = step.1.clone();
        steps.push(step);
    }
    steps
}

impl<S, A: fmt::Debug> fmt::Display for Counterexample<S, A> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}, after:", self.violation)?;
        for (number, (action, _)) in self.steps.iter().enumerate() {
            writeln!(f, "{:>4}. {action:?}", number + 1)?;
        }
        Ok(())
    }
}

fn build_counterexample<S, A>(
    path: &[S],
    next_states: impl Fn(&S) -> Vec<(A, S)>,
    violation: impl Fn(&S) -> Option<String>,
) -> Option<Counterexample<S, A>>
where
    S: Clone + Eq,
    A: Clone,
{
    let violation = violation(path.last()?)?;
    let step = |pair: &[S]| {
        let found = next_states(&pair[0])
            .into_iter()
            .find(|(_, after)| *after == pair[1]);
        found.expect("each pair of the path is a step of the specification")
    };
    let steps = path.windows(2).map(step).collect();
    Some(Counterexample { violation, steps })
}
