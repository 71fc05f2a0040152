//! Settings: accepted changes are in force everywhere in one order and never revert.
//!
//! Operators commit to the head concurrently; a reply may be lost after the commit took
//! effect. Hosts read the platform and send each other deltas and snapshots, each of which
//! may arrive at any time, any number of times and in any order. A host that crashes
//! restarts without a tree. See docs/design/settings-spreading.md.

use std::collections::BTreeSet;

/// Bounds of the exploration, and the mutation to explore.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Number of operators, each with one change.
    pub operators: u8,
    /// Number of entry hosts.
    pub hosts: u8,
    /// Largest total number of crashes of hosts.
    pub crashes_max: u8,
    /// The check that is left out, if any.
    pub mutation: Option<Mutation>,
}

/// A check that is left out, so that a test can show that exploration detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Mutation {
    /// A commit isn't conditional on the head.
    CommitWithoutCompare,
    /// A commit whose reply was lost is repeated on the current head.
    RepeatLostCommit,
    /// A host accepts any tree that it receives.
    AcceptAnyTree,
    /// A host applies changes that don't follow its own revision.
    ApplyAfterGap,
}

/// A change, identified by the operator who made it.
///
/// The tree at a revision is the list of the changes up to it.
pub type Change = u8;

/// The state of an operator's change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Operator {
    /// The operator hasn't read the head yet.
    Idle,
    /// The operator commits its change on top of the head that it has read.
    Committing {
        /// Revision of that head.
        base: u8,
    },
    /// The operator received the reply that the change is accepted.
    Accepted {
        /// Revision that the change created.
        revision: u8,
    },
    /// The operator received the reply that another change was committed first.
    Conflict,
}

/// A message between hosts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// The changes after revision `after`.
    Delta {
        /// Revision that the changes follow.
        after: u8,
        /// The changes.
        changes: Vec<Change>,
    },
    /// The complete tree.
    Snapshot {
        /// All changes of the tree.
        tree: Vec<Change>,
    },
}

/// A state of the platform, the operators and the hosts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The committed changes in order; the n-th creates revision n.
    pub log: Vec<Change>,
    /// The state of each operator's change.
    pub operators: Vec<Operator>,
    /// The tree of each host; `None` before it has its first.
    pub hosts: Vec<Option<Vec<Change>>>,
    messages: BTreeSet<Message>,
    crashes: u8,
    has_revision_regressed: bool,
}

/// One step of the system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum Action {
    /// An operator reads the head and prepares its change.
    ReadHead {
        /// The operator.
        operator: u8,
    },
    /// The commit reaches the platform, and its reply reaches the operator.
    Commit {
        /// The operator.
        operator: u8,
    },
    /// The commit reaches the platform; its reply is lost.
    LoseReply {
        /// The operator.
        operator: u8,
    },
    /// A host reads the platform up to the head.
    ReadPlatform {
        /// The host.
        host: u8,
    },
    /// A message arrives, possibly not for the first time.
    Receive {
        /// The host.
        host: u8,
        /// The message.
        message: Message,
    },
    /// A host restarts without a tree.
    Crash {
        /// The host.
        host: u8,
    },
}

impl State {
    /// Returns the state before the first change.
    pub fn new(config: &Config) -> Self {
        State {
            log: Vec::new(),
            operators: vec![Operator::Idle; config.operators.into()],
            hosts: vec![None; config.hosts.into()],
            messages: BTreeSet::new(),
            crashes: 0,
            has_revision_regressed: false,
        }
    }

    /// Returns a description of the invariant that the state violates, if any.
    pub fn violation(&self) -> Option<String> {
        if self.has_revision_regressed {
            return Some("a host reverted to a lower revision".to_owned());
        }
        let count_in_log =
            |change| self.log.iter().filter(|other| **other == change).count();
        for (change, operator) in self.operators.iter().enumerate() {
            let count = count_in_log(change as Change);
            let is_violated = match operator {
                Operator::Accepted { revision } => {
                    let made = self.log.get(usize::from(*revision) - 1);
                    count != 1 || made != Some(&(change as Change))
                }
                Operator::Conflict => count != 0,
                _ => count > 1,
            };
            if is_violated {
                return Some(format!(
                    "operator {change} contradicts the log: {operator:?}"
                ));
            }
        }
        let is_not_prefix = |tree: &&Vec<Change>| !self.log.starts_with(tree);
        let tree = self.hosts.iter().flatten().find(is_not_prefix)?;
        Some(format!(
            "a host has a tree that contradicts the log: {tree:?}"
        ))
    }
}

/// Returns the actions that are enabled, with the states that follow them.
///
/// N.B. Actions that change nothing are included: a walk must be able to show that a host
/// ignores a message.
pub fn next_states(config: &Config, state: &State) -> Vec<(Action, State)> {
    let operators = (0..config.operators).flat_map(|operator| {
        [
            Action::ReadHead { operator },
            Action::Commit { operator },
            Action::LoseReply { operator },
        ]
    });
    let hosts = (0..config.hosts).flat_map(|host| host_actions(state, host));
    let step = |action: Action| {
        let after = apply(config, state, &action)?;
        Some((action, after))
    };
    operators.chain(hosts).filter_map(step).collect()
}

/// Applies an action; returns `None` if it isn't enabled.
pub fn apply(config: &Config, state: &State, action: &Action) -> Option<State> {
    let mut after = state.clone();
    match action {
        Action::ReadHead { operator } => {
            let base = state.log.len() as u8;
            let operator = &mut after.operators[usize::from(*operator)];
            if *operator != Operator::Idle {
                return None;
            }
            *operator = Operator::Committing { base };
        }
        Action::Commit { operator } => {
            let outcome = commit(config, &mut after, *operator)?;
            after.operators[usize::from(*operator)] = outcome;
        }
        Action::LoseReply { operator } => {
            commit(config, &mut after, *operator)?;
            if config.mutation == Some(Mutation::RepeatLostCommit) {
                after.operators[usize::from(*operator)] = Operator::Idle;
            }
        }
        Action::ReadPlatform { host } => {
            let tree = &mut after.hosts[usize::from(*host)];
            if tree
                .as_ref()
                .is_none_or(|tree| tree.len() < state.log.len())
            {
                *tree = Some(state.log.clone());
            }
        }
        Action::Receive { host, message } => {
            let tree = &mut after.hosts[usize::from(*host)];
            let before = tree.clone();
            receive(config, tree, message);
            let length = |tree: &Option<Vec<Change>>| tree.as_ref().map(Vec::len);
            after.has_revision_regressed |= length(tree) < length(&before);
        }
        Action::Crash { host } => {
            let tree = &mut after.hosts[usize::from(*host)];
            if tree.is_none() || state.crashes == config.crashes_max {
                return None;
            }
            *tree = None;
            after.crashes += 1;
        }
    }
    send_all(&mut after);
    Some(after)
}

fn host_actions(state: &State, host: u8) -> Vec<Action> {
    let mut actions = vec![Action::ReadPlatform { host }, Action::Crash { host }];
    let messages = state.messages.iter().cloned();
    actions.extend(messages.map(|message| Action::Receive { host, message }));
    actions
}

/// Adds every message that a host could send in its current state.
///
/// Sending them all only adds behaviours, as every message may be lost.
fn send_all(state: &mut State) {
    for tree in state.hosts.iter().flatten() {
        state
            .messages
            .insert(Message::Snapshot { tree: tree.clone() });
        for after in 0..tree.len() {
            state.messages.insert(Message::Delta {
                after: after as u8,
                changes: tree[after..].to_vec(),
            });
        }
    }
}

/// Applies a commit at the platform and returns its outcome.
///
/// If an earlier reply was lost, the committed change is recognised by its id.
fn commit(config: &Config, state: &mut State, operator: u8) -> Option<Operator> {
    let Operator::Committing { base } = state.operators[usize::from(operator)] else {
        return None;
    };
    let revision = base + 1;
    let checks_head = config.mutation != Some(Mutation::CommitWithoutCompare);
    if state.log.len() == usize::from(base) {
        state.log.push(operator);
    } else if !checks_head {
        state.log[usize::from(base)] = operator;
    }
    match state.log[usize::from(base)] == operator {
        true => Some(Operator::Accepted { revision }),
        false => Some(Operator::Conflict),
    }
}

fn receive(config: &Config, tree: &mut Option<Vec<Change>>, message: &Message) {
    match message {
        Message::Snapshot { tree: sent } => {
            let is_later = tree.as_ref().is_none_or(|tree| sent.len() > tree.len());
            if is_later || config.mutation == Some(Mutation::AcceptAnyTree) {
                *tree = Some(sent.clone());
            }
        }
        Message::Delta { after, changes } => {
            let Some(tree) = tree else { return };
            let after = usize::from(*after);
            let allows_gaps = config.mutation == Some(Mutation::ApplyAfterGap);
            if after > tree.len() && !allows_gaps {
                return;
            }
            let known = tree.len().saturating_sub(after);
            tree.extend(changes.iter().skip(known));
        }
    }
}
