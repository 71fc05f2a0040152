//! Walks through the specification, taken by the code of commits and spreading.

use std::sync::Arc;

use serde_json::{Value, json};
use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;
use toucancleat_core::settings::store::{
    CommitOutcome, HEAD_ROW, Row, SeenHead, Transact, TransactReply, change_row,
    commit_request, interpret_commit_reply, read_head,
};
use toucancleat_core::settings::{Change, Edit, Tree};
use toucancleat_core::spread::{self, Effect, Event, State as Host};
use toucancleat_model::settings::{Action, Config, Message, Operator, State, next};
use toucancleat_model::walk;

const WALKS: usize = 1_000;
const STEPS_MAX: usize = 40;
/// Longer than every pause and timeout of the spreading.
const LONG_MS: u64 = 60_000;

#[test]
fn commits_and_hosts_follow_every_walk() {
    let config = Config {
        operators: 4,
        hosts: 3,
        crashes: 2,
        broken: None,
    };
    let initial = State::new(&config);
    let mut rng = Rng::new(13);
    for _ in 0..WALKS {
        let steps = walk(&initial, |state| next(&config, state), &mut rng, STEPS_MAX);
        let mut world = World::new(&config);
        let mut taken = Vec::new();
        let mut before = initial.clone();
        for (action, after) in steps {
            taken.push(action.clone());
            world.take(&before, &action);
            world.compare(&after, &taken);
            before = after;
        }
    }
}

/// The platform's table, the operators' commits and the hosts' reducers.
struct World {
    rows: Vec<Row>,
    commits: Vec<Option<(Change, SeenHead)>>,
    outcomes: Vec<Option<CommitOutcome>>,
    hosts: Vec<Host>,
    now_ms: u64,
}

fn edits(operator: usize) -> Vec<Edit> {
    vec![Edit::set(
        &format!("/fleet/kinds/k{operator}/timeout_ms"),
        json!(1),
    )]
}

fn tree(changes: &[u8]) -> Tree {
    let edits: Vec<_> = changes
        .iter()
        .flat_map(|change| edits((*change).into()))
        .collect();
    Tree::default().apply(&edits).expect("a tree").tree
}

fn change(revision: usize, operator: u8) -> Change {
    Change {
        revision: Revision(revision as u64),
        change_id: ChangeId(operator.into()),
        author: format!("operator {operator}"),
        at_unix_ms: 0,
        edits: edits(operator.into()),
    }
}

impl World {
    fn new(config: &Config) -> Self {
        World {
            rows: Vec::new(),
            commits: vec![None; config.operators.into()],
            outcomes: vec![None; config.operators.into()],
            hosts: (0..config.hosts).map(start).collect(),
            now_ms: 0,
        }
    }

    fn take(&mut self, before: &State, action: &Action) {
        self.now_ms += LONG_MS;
        match action {
            Action::Look { operator } => self.look(*operator),
            Action::Commit { operator } => self.commit(*operator, false),
            Action::LoseReply { operator } => self.commit(*operator, true),
            Action::ReadPlatform { host } => self.read_platform((*host).into()),
            Action::Receive { host, message } => {
                let message = to_core(message);
                let from = HostName::new("peer");
                let event = Event::Received { from, message };
                self.feed((*host).into(), event);
            }
            Action::Crash { host } => {
                assert!(before.hosts[usize::from(*host)].is_some());
                self.hosts[usize::from(*host)] = start(*host);
            }
            _ => {}
        }
    }

    fn look(&mut self, operator: u8) {
        let seen = read_head(&self.rows).expect("a head");
        let revision = seen.head.revision.0 as usize + 1;
        self.commits[usize::from(operator)] = Some((change(revision, operator), seen));
    }

    fn commit(&mut self, operator: u8, lose_reply: bool) {
        let operator = usize::from(operator);
        let (change, seen) = self.commits[operator].clone().expect("a commit");
        let reply = self.transact(&commit_request(&change, &seen));
        let reply = if lose_reply {
            TransactReply::Unknown
        } else {
            reply
        };
        self.outcomes[operator] = Some(interpret_commit_reply(&change, &reply));
    }

    fn transact(&mut self, request: &Transact) -> TransactReply {
        let present = |name: &str| self.rows.iter().find(|row| row.row == name);
        let mut conflicts = Vec::new();
        for condition in &request.conditions {
            let row = present(&condition.row);
            if row.and_then(|row| row.version) != condition.version {
                let absent = Row {
                    row: condition.row.clone(),
                    version: None,
                    value: Value::Null,
                };
                conflicts.push(row.cloned().unwrap_or(absent));
            }
        }
        if !conflicts.is_empty() {
            return TransactReply::Conflict(conflicts);
        }
        for write in &request.writes {
            let found = self.rows.iter().position(|row| row.row == write.row);
            let version = found.map_or(0, |at| self.rows.remove(at).version.unwrap_or(0));
            self.rows.push(Row {
                row: write.row.clone(),
                version: Some(version + 1),
                value: write.value.clone(),
            });
        }
        TransactReply::Applied
    }

    /// Makes the host the reader and answers its reads until it asks for no more.
    fn read_platform(&mut self, host: usize) {
        let peers = |is_reader| Event::Peers {
            zone: vec![],
            other_zones: vec![],
            is_reader,
        };
        self.feed(host, peers(true));
        let mut effects = self.feed(host, Event::Tick);
        let asked = |effect: &Effect| match effect {
            Effect::ReadRows { read, rows } => Some((*read, rows.clone())),
            _ => None,
        };
        while let Some((read, names)) = effects.iter().find_map(asked) {
            let known = |row: &&Row| names.contains(&row.row);
            let rows = Some(self.rows.iter().filter(known).cloned().collect());
            effects = self.feed(host, Event::RowsRead { read, rows });
        }
        self.feed(host, peers(false));
    }

    fn feed(&mut self, host: usize, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        spread::reduce(&mut self.hosts[host], self.now_ms, event, &mut effects);
        effects
    }

    fn compare(&self, after: &State, taken: &[Action]) {
        for (host, expected) in self.hosts.iter().zip(&after.hosts) {
            let expected = expected.as_deref().map(tree);
            let found = host.tree().map(|tree| Tree::clone(tree));
            assert_eq!(found, expected, "after {taken:#?}");
        }
        for (operator, expected) in after.operators.iter().enumerate() {
            let found = self.outcomes[operator].as_ref();
            let same = match expected {
                Operator::Idle => found.is_none(),
                Operator::Committing { .. } => {
                    matches!(found, None | Some(CommitOutcome::Unknown))
                }
                Operator::Accepted { .. } => found == Some(&CommitOutcome::Accepted),
                Operator::Conflict => {
                    matches!(found, Some(CommitOutcome::Conflict { .. }))
                }
            };
            assert!(same, "{found:?} for {expected:?} after {taken:#?}");
        }
        for (index, operator) in after.log.iter().enumerate() {
            let name = change_row(Revision(index as u64 + 1));
            let row = self.rows.iter().find(|row| row.row == name).expect("a row");
            let value = serde_json::to_value(change(index + 1, *operator)).expect("JSON");
            assert_eq!(row.value, value);
        }
        let head = self.rows.iter().any(|row| row.row == HEAD_ROW);
        assert_eq!(head, !after.log.is_empty());
    }
}

fn start(host: u8) -> Host {
    Host::new(spread::Config::default(), host.into())
}

fn to_core(message: &Message) -> spread::Message {
    match message {
        Message::Delta { after, changes } => {
            let first = usize::from(*after) + 1;
            let revision = Revision((first + changes.len() - 1) as u64);
            let changes = changes.iter().enumerate();
            let changes =
                changes.map(|(index, operator)| change(first + index, *operator));
            let changes = changes.collect();
            spread::Message::Delta {
                changes,
                revision,
                age_ms: 0,
            }
        }
        Message::Snapshot { tree: changes } => spread::Message::Snapshot {
            revision: Revision(changes.len() as u64),
            tree: Arc::new(tree(changes)),
            age_ms: 0,
        },
    }
}
