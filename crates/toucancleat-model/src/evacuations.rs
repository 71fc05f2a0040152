//! Evacuations of one availability zone: what hosts believe while operators evacuate the zone and
//! take it back, and the store returns to a copy.
//!
//! Operators write a row or remove it, and repeat what a return has lost. Hosts read the list or a
//! change of the feed, and send each other what they know; replies and messages may be late,
//! repeated and in any order. A host that crashes restarts knowing nothing, and sends no requests
//! before it has read the list. Time is abstract: a host in touch is one that has received
//! something at least as new as the operators' last write, from the store or by way of others.
//! See docs/design/evacuation.md.

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
    /// Largest number of replies, and of messages, that are on their way.
    pub in_flight_max: usize,
    /// The check that is left out, if any.
    pub mutation: Option<Mutation>,
}

/// A check that is left out, so that a test can show that exploration detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Mutation {
    /// Positions are compared by their version alone.
    IgnoreEras,
    /// What was received last replaces what is known, whatever its position.
    TakeLast,
    /// A list that lacks the zone takes it back, whatever its position.
    TakeBackByAnyList,
    /// A list that lacks the zone says nothing.
    IgnoreMissing,
    /// A reply of an earlier era is taken for one of the known era.
    TakeLateReplies,
    /// A zone whose row the store has lost is taken back at once.
    TakeBackLostRows,
    /// A zone whose row the store has lost is never taken back.
    KeepLostRows,
    /// A host forgets up to where the lists lacked a zone that it doesn't know.
    ForgetLists,
    /// A host forgets a zone that was taken back.
    ForgetTakenBack,
}

/// A position in the store's history: the era, then the version.
pub type Position = (u8, u8);

/// The last known change of the zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Change {
    /// Its position.
    pub position: Position,
    /// Whether the zone is evacuated since then.
    pub is_evacuated: bool,
}

/// The store at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Store {
    /// How often the store has returned to a copy.
    pub era: u8,
    /// The latest version.
    pub version: u8,
    /// Whether the zone's row is there.
    pub has_row: bool,
    /// The version at which the row was written or removed last; zero if never.
    pub row_version: u8,
    /// Number of writes of operators that the hosts know if they know this.
    writes: u8,
}

/// What a host knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Host {
    /// The known era.
    pub era: u8,
    /// Whether the host has read the list, and serves callers.
    pub is_ready: bool,
    /// The last known change of the zone.
    pub known: Option<Change>,
    /// The position of the latest list.
    pub listed: Option<Position>,
    /// Whether the time for which a lost row holds has passed in this era.
    is_hold_over: bool,
    /// Number of the operators' writes that are included in what the host has received.
    heard_writes: u8,
}

impl Host {
    /// Returns true if the host may send requests to the zone.
    pub fn uses_zone(&self) -> bool {
        // A host without a list refuses its callers.
        self.is_ready && !self.known.is_some_and(|known| known.is_evacuated)
    }

    fn is_of_earlier_era(&self) -> bool {
        self.known.is_some_and(|known| known.position.0 < self.era)
    }
}

/// A reply that is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Reply {
    /// The store when it answered.
    pub store: Store,
    /// Whether it is the complete list, or the last change.
    pub is_list: bool,
}

/// A message that is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Message {
    /// The sender's era.
    pub era: u8,
    /// What it knows.
    pub known: Option<Change>,
    heard_writes: u8,
}

/// A state of the operators, the store and the hosts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Whether operators want the zone to be empty.
    pub is_wanted_empty: bool,
    /// The store.
    pub store: Store,
    /// The hosts.
    pub hosts: Vec<Host>,
    copy: Store,
    replies: BTreeSet<Reply>,
    messages: BTreeSet<Message>,
    writes: u8,
    /// Number of writes with the one by which operators asked for the evacuation.
    writes_with_evacuation: u8,
    returns: u8,
    crashes: u8,
    problem: Option<&'static str>,
}

/// One step of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum Action {
    /// Operators evacuate the zone.
    Evacuate,
    /// Operators take the zone back.
    TakeBack,
    /// Operators repeat what the store has lost.
    Repeat,
    /// Another row is written.
    WriteOther,
    /// A copy of the store is made.
    Copy,
    /// The store returns to the copy.
    Return,
    /// The store answers a read; the reply is on its way.
    Read {
        /// Whether it answers with the list, or with the last change.
        is_list: bool,
    },
    /// A host receives a reply, possibly late.
    Deliver {
        /// The host.
        host: u8,
        /// The reply.
        reply: Reply,
    },
    /// A host sends what it knows.
    Send {
        /// The host.
        host: u8,
    },
    /// A host receives a message, possibly late.
    Receive {
        /// The host.
        host: u8,
        /// The message.
        message: Message,
    },
    /// The time for which a lost row holds has passed. Operators have repeated it, if they want
    /// it.
    EndHold {
        /// The host.
        host: u8,
    },
    /// What is on its way is lost.
    Lose,
    /// A host restarts knowing nothing.
    Crash {
        /// The host.
        host: u8,
    },
}

impl State {
    /// Returns the state in which the zone was never evacuated.
    pub fn new(config: &Config) -> Self {
        let store = Store {
            era: 1,
            version: 1,
            has_row: false,
            row_version: 0,
            writes: 0,
        };
        State {
            is_wanted_empty: false,
            store,
            hosts: vec![Host::default(); config.hosts.into()],
            copy: store,
            replies: BTreeSet::new(),
            messages: BTreeSet::new(),
            writes: 0,
            writes_with_evacuation: 0,
            returns: 0,
            crashes: 0,
            problem: None,
        }
    }

    /// Returns a description of the invariant that the state violates, if any.
    pub fn violation(&self) -> Option<String> {
        if let Some(problem) = self.problem {
            return Some(problem.to_owned());
        }
        let is_lost = self.is_lost();
        let in_touch = |host: &&Host| host.is_ready && host.heard_writes == self.writes;
        let mut wrong = self
            .hosts
            .iter()
            .filter(in_touch)
            .filter(|host| !is_lost && host.uses_zone() == self.is_wanted_empty)
            // A change of an earlier era may hold for a while.
            .filter(|host| host.uses_zone() || !host.is_of_earlier_era());
        wrong.next().map(|host| {
            let action = if host.uses_zone() { "uses" } else { "avoids" };
            format!("a host in touch {action} the zone")
        })
    }

    /// Returns true if all hosts do what the store says.
    pub fn is_settled(&self) -> bool {
        let is_right = |host: &Host| host.uses_zone() != self.store.has_row;
        self.hosts.iter().all(is_right)
    }

    /// Returns true if operators can't repeat what the store has lost within the bounds of the
    /// exploration.
    pub fn is_out_of_versions(&self, config: &Config) -> bool {
        self.is_lost() && self.store.version == config.versions_max
    }

    fn is_lost(&self) -> bool {
        self.store.has_row != self.is_wanted_empty
    }
}

/// Returns the actions that are enabled, with the states that follow them.
pub fn next_states(config: &Config, state: &State) -> Vec<(Action, State)> {
    let mut actions = vec![
        Action::Evacuate,
        Action::TakeBack,
        Action::Repeat,
        Action::WriteOther,
        Action::Copy,
        Action::Return,
        Action::Read { is_list: true },
        Action::Read { is_list: false },
        Action::Lose,
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
        actions.extend([
            Action::Send { host },
            Action::EndHold { host },
            Action::Crash { host },
        ]);
    }
    let step = |action: Action| Some((action, apply(config, state, action)?));
    actions.into_iter().filter_map(step).collect()
}

/// Applies an action; returns `None` if it isn't enabled.
pub fn apply(config: &Config, state: &State, action: Action) -> Option<State> {
    let mut after = state.clone();
    match action {
        Action::Evacuate | Action::TakeBack => {
            let is_wanted_empty = action == Action::Evacuate;
            if state.is_wanted_empty == is_wanted_empty || state.is_lost() {
                return None;
            }
            after.is_wanted_empty = is_wanted_empty;
            write_row(config, &mut after, is_wanted_empty)?;
            if is_wanted_empty {
                after.writes_with_evacuation = after.writes;
            }
        }
        Action::Repeat => {
            if !state.is_lost() {
                return None;
            }
            write_row(config, &mut after, state.is_wanted_empty)?;
        }
        Action::WriteOther => write(config, &mut after)?,
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
        Action::Read { is_list } => {
            if state.replies.len() == config.in_flight_max {
                return None;
            }
            after.replies.insert(Reply {
                store: state.store,
                is_list,
            });
        }
        Action::Deliver { host, reply } => {
            deliver(config, &mut after.hosts[usize::from(host)], reply);
        }
        Action::Send { host } => {
            if state.messages.len() == config.in_flight_max {
                return None;
            }
            let host = state.hosts[usize::from(host)];
            after.messages.insert(Message {
                era: host.era,
                known: host.known,
                heard_writes: host.heard_writes,
            });
        }
        Action::Receive { host, message } => {
            receive(config, &mut after.hosts[usize::from(host)], message);
        }
        Action::EndHold { host } => {
            let host = &mut after.hosts[usize::from(host)];
            // Replies and messages from before the repetition don't take as long as the hold.
            let is_any_late = !state.replies.is_empty() || !state.messages.is_empty();
            let is_behind = host.era < state.store.era || state.is_lost();
            if host.is_hold_over || is_any_late || is_behind {
                return None;
            }
            host.is_hold_over = true;
        }
        Action::Lose => {
            after.replies.clear();
            after.messages.clear();
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
            let heard = before.heard_writes >= state.writes_with_evacuation;
            let has_heard = state.is_wanted_empty && heard;
            check(&mut after.problem, has_heard, before, host);
        }
    }
    Some(after)
}

/// Records what no step may do at a host, which may have heard of the evacuation that operators
/// want.
fn check(
    problem: &mut Option<&'static str>,
    has_heard: bool,
    before: &Host,
    host: &Host,
) {
    let position = |host: &Host| host.known.map(|known| known.position);
    if position(host) < position(before) {
        *problem = Some("a host went back to an earlier change");
    }
    let knew_evacuation = before.known.is_some_and(|known| known.is_evacuated);
    if knew_evacuation && has_heard && !host.is_hold_over && host.uses_zone() {
        *problem = Some("a host uses a zone again that nobody has taken back");
    }
}

fn write(config: &Config, state: &mut State) -> Option<()> {
    if state.store.version == config.versions_max {
        return None;
    }
    state.store.version += 1;
    Some(())
}

fn write_row(config: &Config, state: &mut State, has_row: bool) -> Option<()> {
    write(config, state)?;
    state.writes += 1;
    state.store.has_row = has_row;
    state.store.row_version = state.store.version;
    state.store.writes = state.writes;
    Some(())
}

fn enter_era(host: &mut Host, era: u8) {
    if era > host.era {
        host.era = era;
        host.is_hold_over = false;
    }
}

fn deliver(config: &Config, host: &mut Host, reply: Reply) {
    enter_era(host, reply.store.era);
    let is_late = reply.store.era < host.era;
    if is_late && config.mutation != Some(Mutation::TakeLateReplies) {
        return;
    }
    let store = reply.store;
    let change = |version, is_evacuated| Change {
        position: (host.era, version),
        is_evacuated,
    };
    let listed = host.listed.filter(|listed| listed.0 == host.era);
    if !reply.is_list {
        // The feed continues after a list of the era.
        if listed.is_some_and(|listed| store.row_version > listed.1) {
            record(config, host, change(store.row_version, store.has_row));
            host.heard_writes = host.heard_writes.max(store.writes);
        }
        return;
    }
    host.is_ready = true;
    host.heard_writes = host.heard_writes.max(store.writes);
    if store.has_row {
        record(config, host, change(store.row_version, true));
    } else {
        record_missing(config, host, change(store.version, false));
    }
    host.listed = host.listed.max(Some((host.era, store.version)));
}

/// Records that a list lacks the zone.
fn record_missing(config: &Config, host: &mut Host, missing: Change) {
    let Some(known) = host.known else {
        return;
    };
    let is_lost = known.is_evacuated && known.position.0 < host.era;
    let is_held = match config.mutation {
        Some(Mutation::TakeBackLostRows) => false,
        Some(Mutation::KeepLostRows) => is_lost,
        _ => is_lost && !host.is_hold_over,
    };
    if is_held || config.mutation == Some(Mutation::IgnoreMissing) {
        return;
    }
    if config.mutation == Some(Mutation::TakeBackByAnyList) {
        host.known = Some(Change {
            position: known.position.max(missing.position),
            ..missing
        });
    } else {
        record(config, host, missing);
    }
}

fn receive(config: &Config, host: &mut Host, message: Message) {
    enter_era(host, message.era);
    if let Some(change) = message.known {
        record(config, host, change);
        host.heard_writes = host.heard_writes.max(message.heard_writes);
    }
}

/// Records a change unless a later one is known.
fn record(config: &Config, host: &mut Host, change: Change) {
    let is_later = |known: Change| match config.mutation {
        Some(Mutation::IgnoreEras) => change.position.1 > known.position.1,
        Some(Mutation::TakeLast) => true,
        _ => change.position > known.position,
    };
    let is_listed_later = host
        .listed
        .is_some_and(|listed| listed.0 == change.position.0 && listed > change.position);
    if is_listed_later && config.mutation != Some(Mutation::ForgetLists) {
        return;
    }
    if host.known.is_none_or(is_later) {
        host.known = Some(change);
    }
    let is_taken_back = host.known.is_some_and(|known| !known.is_evacuated);
    if is_taken_back && config.mutation == Some(Mutation::ForgetTakenBack) {
        host.known = None;
    }
}
