//! Settings: accepted changes are in force everywhere in one order and never revert.
//!
//! Operators race for the head; a reply may be lost after the commit took effect. Hosts
//! read the platform and send each other deltas and whole trees, each of which may
//! arrive at any time, any number of times and in any order. Hosts crash and start
//! without a tree. See docs/design/settings-spreading.md.

use std::collections::BTreeSet;

/// Bounds of the exploration, and the guard that a broken variant lacks.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Operators, each with one change.
    pub operators: u8,
    /// Entry hosts.
    pub hosts: u8,
    /// Crashes of hosts in total.
    pub crashes: u8,
    /// Which guard is missing.
    pub broken: Option<Broken>,
}

/// A guard that is left out to see the checker catch it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Broken {
    /// A commit doesn't compare the head.
    NoCompare,
    /// A commit whose reply was lost is made anew on the present head.
    CommitAnew,
    /// A host takes whatever tree it is sent.
    AnyTree,
    /// A host applies changes that don't follow on its own revision.
    Gaps,
}

/// A change, named by the operator who made it; the tree at a revision is the list of the
/// changes up to it.
pub type Change = u8;

/// What an operator knows of its change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Operator {
    /// Hasn't looked at the settings.
    Idle,
    /// Sends its change on the head that it has seen.
    Committing {
        /// Revision of that head.
        seen: u8,
    },
    /// Was told that the change is accepted.
    Accepted {
        /// Revision that the change made.
        revision: u8,
    },
    /// Was told that another change came first.
    Conflict,
}

/// A message between hosts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// The changes after revision `after`.
    Delta {
        /// Revision that the changes follow on.
        after: u8,
        /// The changes.
        changes: Vec<Change>,
    },
    /// The whole tree.
    Snapshot {
        /// All changes of the tree.
        tree: Vec<Change>,
    },
}

/// A state of the platform, the operators and the hosts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The committed changes in order; revision n is made by the n-th.
    pub log: Vec<Change>,
    /// What each operator knows.
    pub operators: Vec<Operator>,
    /// The tree of each host; `None` before its first.
    pub hosts: Vec<Option<Vec<Change>>>,
    messages: BTreeSet<Message>,
    crashes: u8,
    fell: bool,
}

/// One step of the system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum Action {
    /// An operator looks at the head and prepares its change.
    Look {
        /// The operator.
        operator: u8,
    },
    /// The commit reaches the platform, and the reply the operator.
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
    /// A message arrives, perhaps not for the first time.
    Receive {
        /// The host.
        host: u8,
        /// The message.
        message: Message,
    },
    /// A host starts anew without a tree.
    Crash {
        /// The host.
        host: u8,
    },
}

impl State {
    /// Makes the state before the first change.
    pub fn new(config: &Config) -> Self {
        State {
            log: Vec::new(),
            operators: vec![Operator::Idle; config.operators.into()],
            hosts: vec![None; config.hosts.into()],
            messages: BTreeSet::new(),
            crashes: 0,
            fell: false,
        }
    }

    /// Says what is wrong with the state.
    pub fn violation(&self) -> Option<String> {
        if self.fell {
            return Some("a host went back to a lower revision".to_owned());
        }
        let in_log = |change| self.log.iter().filter(|other| **other == change).count();
        for (change, operator) in self.operators.iter().enumerate() {
            let count = in_log(change as Change);
            let wrong = match operator {
                Operator::Accepted { revision } => {
                    let made = self.log.get(usize::from(*revision) - 1);
                    count != 1 || made != Some(&(change as Change))
                }
                Operator::Conflict => count != 0,
                _ => count > 1,
            };
            if wrong {
                return Some(format!("operator {change} was told {operator:?}"));
            }
        }
        let differs = |tree: &&Vec<Change>| !self.log.starts_with(tree);
        let tree = self.hosts.iter().flatten().find(differs)?;
        Some(format!("a host has the tree {tree:?}"))
    }
}

/// Returns the actions that are possible, with the states that they lead to.
///
/// N.B. Those that change nothing are among them: a walk has to show that a host ignores
/// a message.
pub fn next(config: &Config, state: &State) -> Vec<(Action, State)> {
    let operators = (0..config.operators).flat_map(|operator| {
        [
            Action::Look { operator },
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

/// Takes an action; `None` when it isn't possible.
pub fn apply(config: &Config, state: &State, action: &Action) -> Option<State> {
    let mut after = state.clone();
    match action {
        Action::Look { operator } => {
            let seen = state.log.len() as u8;
            let operator = &mut after.operators[usize::from(*operator)];
            if *operator != Operator::Idle {
                return None;
            }
            *operator = Operator::Committing { seen };
        }
        Action::Commit { operator } => {
            let told = commit(config, &mut after, *operator)?;
            after.operators[usize::from(*operator)] = told;
        }
        Action::LoseReply { operator } => {
            commit(config, &mut after, *operator)?;
            if config.broken == Some(Broken::CommitAnew) {
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
            after.fell |= length(tree) < length(&before);
        }
        Action::Crash { host } => {
            let tree = &mut after.hosts[usize::from(*host)];
            if tree.is_none() || state.crashes == config.crashes {
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

/// Lets each host send all that it can say.
///
/// That nothing is held back only adds behaviours, as every message may be lost.
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

/// Takes a commit to the platform and returns what the operator is told.
///
/// A change is found again by its id where an earlier reply was lost.
fn commit(config: &Config, state: &mut State, operator: u8) -> Option<Operator> {
    let Operator::Committing { seen } = state.operators[usize::from(operator)] else {
        return None;
    };
    let revision = seen + 1;
    let compares = config.broken != Some(Broken::NoCompare);
    if state.log.len() == usize::from(seen) {
        state.log.push(operator);
    } else if !compares {
        state.log[usize::from(seen)] = operator;
    }
    match state.log[usize::from(seen)] == operator {
        true => Some(Operator::Accepted { revision }),
        false => Some(Operator::Conflict),
    }
}

fn receive(config: &Config, tree: &mut Option<Vec<Change>>, message: &Message) {
    match message {
        Message::Snapshot { tree: sent } => {
            let later = tree.as_ref().is_none_or(|tree| sent.len() > tree.len());
            if later || config.broken == Some(Broken::AnyTree) {
                *tree = Some(sent.clone());
            }
        }
        Message::Delta { after, changes } => {
            let Some(tree) = tree else { return };
            let after = usize::from(*after);
            let gaps = config.broken == Some(Broken::Gaps);
            if after > tree.len() && !gaps {
                return;
            }
            let known = tree.len().saturating_sub(after);
            tree.extend(changes.iter().skip(known));
        }
    }
}
