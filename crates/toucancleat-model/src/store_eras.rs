//! Eras of the store: what hosts believe of a target while the store returns to copies.
//!
//! One target runs and then leaves for good. It writes its row with each heartbeat, and once
//! when it leaves; what a copy lacks it writes again. Hosts read the list at any time, a reply
//! may be delivered late, more than once and in any order, and hosts send each other the
//! changes that they find. A host that crashes restarts knowing nothing. See
//! docs/design/store-eras.md.

use std::collections::BTreeSet;

/// Bounds of the exploration, and the mutation to explore.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Number of entry hosts.
    pub hosts: u8,
    /// Highest version that the store gives out in an era.
    pub versions_max: u8,
    /// Largest number of returns to a copy.
    pub returns_max: u8,
    /// Largest total number of crashes of hosts.
    pub crashes_max: u8,
    /// The check that is left out, if any.
    pub mutation: Option<Mutation>,
}

/// A check that is left out, so that a test can show that exploration detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Mutation {
    /// Positions are compared by their version alone.
    IgnoreEras,
    /// A reply of an earlier era is taken for one of the known era.
    TakeLateReplies,
    /// A message of an earlier era is taken for one of the known era.
    TakeLateMessages,
    /// A list is believed although a message has shown a later row.
    ForgetMessages,
    /// A row of a copy is believed although the host has seen the target leave.
    BelieveCopies,
    /// The same, if another host sends it.
    BelieveCopiesOfOthers,
    /// A host that enters an era keeps its version.
    KeepVersion,
}

/// The row of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Row {
    /// Whether it shows the target as ready.
    pub is_ready: bool,
    /// The store's version of the row.
    pub version: u8,
}

/// The store at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Store {
    /// How often the store has returned to a copy.
    pub era: u8,
    /// The latest version.
    pub version: u8,
    /// The row of the target.
    pub row: Row,
}

/// What a host believes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Host {
    /// The known era.
    pub era: u8,
    /// The version in that era up to which the list is known; zero if it isn't.
    pub version: u8,
    /// Whether the host sends requests to the target.
    pub uses_target: bool,
    /// The era in which the host learnt that the target had left, if it did.
    pub left_in_era: Option<u8>,
    /// The row that a message showed, if it is later than the known version.
    pub later_row: Option<Row>,
    is_listed: bool,
}

/// A change that a host sends to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Message {
    /// The era of the sender.
    pub era: u8,
    /// The row that has changed.
    pub row: Row,
}

/// A state of the store, the target and the hosts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The store.
    pub store: Store,
    /// Whether the target has left.
    pub has_left: bool,
    /// The hosts.
    pub hosts: Vec<Host>,
    copy: Store,
    replies: BTreeSet<Store>,
    messages: BTreeSet<Message>,
    returns: u8,
    crashes: u8,
    has_position_regressed: bool,
    has_taken_back: bool,
}

/// One step of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum Action {
    /// The target writes its row, ready or leaving.
    Write,
    /// The target leaves, and writes so.
    Leave,
    /// A copy of the store is made.
    Copy,
    /// The store returns to the copy.
    Return,
    /// The store answers a read with the list as it is; the reply is on its way.
    Read,
    /// A host receives a reply, possibly late.
    Deliver {
        /// The host.
        host: u8,
        /// The reply.
        reply: Store,
    },
    /// A host receives a message, possibly late.
    Receive {
        /// The host.
        host: u8,
        /// The message.
        message: Message,
    },
    /// A host restarts knowing nothing.
    Crash {
        /// The host.
        host: u8,
    },
}

impl State {
    /// Returns the state in which the target has just started.
    pub fn new(config: &Config) -> Self {
        let row = Row {
            is_ready: true,
            version: 1,
        };
        let store = Store {
            era: 1,
            version: 1,
            row,
        };
        State {
            store,
            has_left: false,
            hosts: vec![Host::default(); config.hosts.into()],
            copy: store,
            replies: BTreeSet::new(),
            messages: BTreeSet::new(),
            returns: 0,
            crashes: 0,
            has_position_regressed: false,
            has_taken_back: false,
        }
    }

    /// Returns a description of the invariant that the state violates, if any.
    pub fn violation(&self) -> Option<String> {
        if self.has_position_regressed {
            return Some("a host went back to an earlier position".to_owned());
        }
        self.has_taken_back
            .then(|| "a host uses a target that it has seen leave".to_owned())
    }

    /// Returns true if all hosts believe what the store says, or have seen the target leave.
    pub fn is_settled(&self) -> bool {
        let is_known = |host: &Host| {
            host.uses_target == self.store.row.is_ready || host.left_in_era.is_some()
        };
        self.hosts.iter().all(is_known)
    }
}

/// Returns the actions that are enabled, with the states that follow them.
pub fn next_states(config: &Config, state: &State) -> Vec<(Action, State)> {
    let mut actions = vec![
        Action::Write,
        Action::Leave,
        Action::Copy,
        Action::Return,
        Action::Read,
    ];
    for host in 0..config.hosts {
        let replies = state.replies.iter();
        actions.extend(replies.map(|reply| Action::Deliver {
            host,
            reply: *reply,
        }));
        let messages = state.messages.iter();
        actions.extend(messages.map(|message| Action::Receive {
            host,
            message: *message,
        }));
        actions.push(Action::Crash { host });
    }
    let step = |action: Action| Some((action, apply(config, state, action)?));
    actions.into_iter().filter_map(step).collect()
}

/// Applies an action; returns `None` if it isn't enabled.
pub fn apply(config: &Config, state: &State, action: Action) -> Option<State> {
    let mut after = state.clone();
    match action {
        Action::Write => write(config, &mut after)?,
        Action::Leave => {
            if state.has_left {
                return None;
            }
            after.has_left = true;
            write(config, &mut after)?;
        }
        Action::Copy => after.copy = state.store,
        Action::Return => {
            if state.returns == config.returns_max || state.copy.era != state.store.era {
                return None;
            }
            after.returns += 1;
            after.store = Store {
                era: state.store.era + 1,
                ..state.copy
            };
        }
        Action::Read => {
            after.replies.insert(state.store);
        }
        Action::Deliver { host, reply } => {
            let change = deliver(config, &mut after.hosts[usize::from(host)], reply);
            after.messages.extend(change);
        }
        Action::Receive { host, message } => {
            receive(config, &mut after.hosts[usize::from(host)], message);
        }
        Action::Crash { host } => {
            if state.crashes == config.crashes_max {
                return None;
            }
            after.crashes += 1;
            after.hosts[usize::from(host)] = Host::default();
        }
    }
    if !matches!(action, Action::Crash { .. }) {
        for (host, before) in after.hosts.iter().zip(&state.hosts) {
            let position = (host.era, host.version);
            after.has_position_regressed |= position < (before.era, before.version);
            // The target never returns once it has left.
            after.has_taken_back |= before.left_in_era.is_some() && host.uses_target;
        }
    }
    Some(after)
}

fn write(config: &Config, state: &mut State) -> Option<()> {
    if state.store.version == config.versions_max {
        return None;
    }
    state.store.version += 1;
    state.store.row = Row {
        is_ready: !state.has_left,
        version: state.store.version,
    };
    Some(())
}

fn enter_era(config: &Config, host: &mut Host, era: u8) {
    if era > host.era {
        host.era = era;
        let keeps_version = [Some(Mutation::KeepVersion), Some(Mutation::IgnoreEras)];
        if !keeps_version.contains(&config.mutation) {
            host.version = 0;
            host.later_row = None;
        }
    }
}

/// Returns true if a row shows a target as ready that the host has seen leave before the era,
/// and isn't known to be written in the era.
fn is_of_copy(host: &Host, row: Row) -> bool {
    row.is_ready
        && host.left_in_era.is_some_and(|era| era < host.era)
        && (host.version == 0 || row.version <= host.version)
}

/// Applies a reply, and returns the change that the host sends to the others.
fn deliver(config: &Config, host: &mut Host, reply: Store) -> Option<Message> {
    enter_era(config, host, reply.era);
    let is_late = reply.era < host.era;
    if is_late && config.mutation != Some(Mutation::TakeLateReplies) {
        return None;
    }
    if reply.version < host.version {
        return None;
    }
    let later_row = host.later_row.filter(|row| row.version > reply.version);
    host.later_row = later_row;
    if later_row.is_some() && config.mutation != Some(Mutation::ForgetMessages) {
        host.version = reply.version;
        host.is_listed = true;
        return None;
    }
    let is_held_back = is_of_copy(host, reply.row);
    host.version = reply.version;
    if is_held_back && config.mutation != Some(Mutation::BelieveCopies) {
        return None;
    }
    let is_first = !host.is_listed;
    host.is_listed = true;
    let is_changed = believe(host, reply.row.is_ready);
    (is_changed && !is_first).then_some(Message {
        era: host.era,
        row: reply.row,
    })
}

fn receive(config: &Config, host: &mut Host, message: Message) {
    enter_era(config, host, message.era);
    let is_late = message.era < host.era;
    let takes_late = [Some(Mutation::TakeLateMessages), Some(Mutation::IgnoreEras)];
    if is_late && !takes_late.contains(&config.mutation) {
        return;
    }
    let is_overtaken = host
        .later_row
        .is_some_and(|later| later.version > message.row.version);
    let believes_others = config.mutation == Some(Mutation::BelieveCopiesOfOthers);
    if is_of_copy(host, message.row) && !believes_others {
        return;
    }
    if message.row.version > host.version && !is_overtaken {
        believe(host, message.row.is_ready);
        host.later_row = Some(message.row);
    }
}

/// Returns true if the host believed otherwise.
fn believe(host: &mut Host, is_ready: bool) -> bool {
    let is_changed = host.uses_target != is_ready;
    if !is_ready && host.uses_target {
        host.left_in_era = Some(host.era);
    }
    host.uses_target = is_ready;
    is_changed
}
