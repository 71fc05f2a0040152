//! Breadth-first exploration of a specification.

use std::fmt;
use std::hash::Hash;

use indexmap::IndexSet;
use pathfinding::directed::bfs::{bfs, bfs_reach};
use toucancleat_core::rng::Rng;

/// The result of an exploration.
#[derive(Clone, Debug)]
pub struct Exploration<S, A> {
    /// How many states were reached.
    pub states: usize,
    /// A shortest way to a state that breaks the invariant, if there is one.
    pub counterexample: Option<Counterexample<S, A>>,
}

/// A shortest way to a state that breaks the invariant.
#[derive(Clone, Debug)]
pub struct Counterexample<S, A> {
    /// What is broken.
    pub violation: String,
    /// Each action with the state that it led to.
    pub steps: Vec<(A, S)>,
}

/// Explores every state that can be reached from `initial`.
///
/// `next` gives the actions that are possible in a state, and `violation` says what is
/// wrong with a state. Exploration stops at the first wrong state.
pub fn explore<S, A>(
    initial: &S,
    next: impl Fn(&S) -> Vec<(A, S)>,
    violation: impl Fn(&S) -> Option<String>,
) -> Exploration<S, A>
where
    S: Clone + Eq + Hash,
    A: Clone,
{
    let successors = |state: &S| next(state).into_iter().map(|(_, after)| after);
    let mut states = 0;
    for state in bfs_reach(initial.clone(), successors) {
        states += 1;
        if violation(&state).is_some() {
            let wrong = |state: &S| violation(state).is_some();
            let path = bfs(initial, successors, wrong).unwrap_or_default();
            let counterexample = name_steps(&path, &next, &violation);
            return Exploration {
                states,
                counterexample,
            };
        }
    }
    Exploration {
        states,
        counterexample: None,
    }
}

/// Finds a reachable state from which the benign actions can't lead to a settled one.
///
/// With faults left out of the benign actions this says that the protocol gets stuck once
/// the faults have ended. It doesn't say that the protocol takes the way that exists.
pub fn stuck<S, A>(
    initial: &S,
    next: impl Fn(&S) -> Vec<(A, S)>,
    is_benign: impl Fn(&A) -> bool,
    is_settled: impl Fn(&S) -> bool,
) -> Option<S>
where
    S: Clone + Eq + Hash,
{
    let successors = |state: &S| next(state).into_iter().map(|(_, after)| after);
    let states: IndexSet<S> = bfs_reach(initial.clone(), successors).collect();
    let mut leads_here = vec![Vec::new(); states.len()];
    for (index, state) in states.iter().enumerate() {
        let benign = next(state)
            .into_iter()
            .filter(|(action, _)| is_benign(action));
        for (_, after) in benign {
            let after = states.get_index_of(&after);
            leads_here[after.expect("a reached state")].push(index);
        }
    }
    let settled = |index: &usize| is_settled(&states[*index]);
    let mut found: Vec<_> = (0..states.len()).filter(settled).collect();
    let mut settles = vec![false; states.len()];
    while let Some(index) = found.pop() {
        if !std::mem::replace(&mut settles[index], true) {
            found.extend(&leads_here[index]);
        }
    }
    let stuck = settles.iter().position(|settles| !settles)?;
    states.get_index(stuck).cloned()
}

/// Walks at random through a specification.
pub fn walk<S, A>(
    initial: &S,
    next: impl Fn(&S) -> Vec<(A, S)>,
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
        let mut possible = next(&state);
        if possible.is_empty() {
            break;
        }
        let step = possible.swap_remove(rng.below(possible.len()));
        state = step.1.clone();
        steps.push(step);
    }
    steps
}

impl<S, A: fmt::Debug> fmt::Display for Counterexample<S, A> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}, after", self.violation)?;
        for (number, (action, _)) in self.steps.iter().enumerate() {
            writeln!(f, "{:>4}. {action:?}", number + 1)?;
        }
        Ok(())
    }
}

fn name_steps<S, A>(
    path: &[S],
    next: impl Fn(&S) -> Vec<(A, S)>,
    violation: impl Fn(&S) -> Option<String>,
) -> Option<Counterexample<S, A>>
where
    S: Clone + Eq,
    A: Clone,
{
    let violation = violation(path.last()?)?;
    let step = |pair: &[S]| {
        let found = next(&pair[0])
            .into_iter()
            .find(|(_, after)| *after == pair[1]);
        found.expect("the path follows the specification")
    };
    let steps = path.windows(2).map(step).collect();
    Some(Counterexample { violation, steps })
}
