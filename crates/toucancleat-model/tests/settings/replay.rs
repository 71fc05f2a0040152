//! Replay of random walks through the specification against commits and dissemination.

use std::sync::Arc;

use serde_json::{Value, json};
use toucancleat_core::dissemination::{self, Effect, Event, State as Host};
use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;
use toucancleat_core::settings::store::{
    CommitOutcome, HEAD_ROW, Row, Transaction, TransactionReply, VersionedHead,
    change_row, commit_request, interpret_commit_reply, read_head,
};
use toucancleat_core::settings::{Change, Edit, Tree};
use toucancleat_model::random_walk;
use toucancleat_model::settings::{
    Action, Config, Message, Operator, State, next_states,
};

const WALKS: usize = 1_000;
const STEPS_MAX: usize = 40;
/// Longer than every pause and timeout of the dissemination.
const LONG_MS: u64 = 60_000;

#[test]
fn commits_and_hosts_never_diverge_from_the_specification() {
    let config = Config {
        operators: 4,
        hosts: 3,
        crashes_max: 2,
        mutation: None,
    };
    let initial = State::new(&config);
    let mut rng = Rng::new(13);
    for _ in 0..WALKS {
        let steps = random_walk(
            &initial,
            |state| next_states(&config, state),
            &mut rng,
            STEPS_MAX,
        );
        let mut system = System::new(&config);
        let mut applied = Vec::new();
        let mut before = initial.clone();
        for (action, after) in steps {
            applied.push(action.clone());
            system.apply(&before, &action);
            system.assert_matches(&after, &applied);
            before = after;
        }
    }
}

/// The platform's table, the operators' commits and the hosts' reducers.
struct System {
    rows: Vec<Row>,
    commits: Vec<Option<(Change, VersionedHead)>>,
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

impl System {
    fn new(config: &Config) -> Self {
        System {
            rows: Vec::new(),
            commits: vec![None; config.operators.into()],
            outcomes: vec![None; config.operators.into()],
            hosts: (0..config.hosts).map(start_host).collect(),
            now_ms: 0,
        }
    }

    fn apply(&mut self, before: &State, action: &Action) {
        self.now_ms += LONG_MS;
        match action {
            Action::ReadHead { operator } => self.read_head(*operator),
            Action::Commit { operator } => self.commit(*operator, false),
            Action::LoseReply { operator } => self.commit(*operator, true),
            Action::ReadPlatform { host } => self.read_platform((*host).into()),
            Action::Receive { host, message } => {
                let message = to_core(message);
                let from = HostName::new("peer");
                let event = Event::MessageReceived { from, message };
                self.deliver_event((*host).into(), event);
            }
            Action::Crash { host } => {
                assert!(before.hosts[usize::from(*host)].is_some());
                self.hosts[usize::from(*host)] = start_host(*host);
            }
            _ => {}
        }
    }

    fn read_head(&mut self, operator: u8) {
        let versioned_head = read_head(&self.rows).expect("a head");
        let revision = versioned_head.head.revision.0 as usize + 1;
        self.commits[usize::from(operator)] =
            Some((change(revision, operator), versioned_head));
    }

    fn commit(&mut self, operator: u8, is_reply_lost: bool) {
        let operator = usize::from(operator);
        let (change, versioned_head) = self.commits[operator].clone().expect("a commit");
        let reply = self.transact(&commit_request(&change, &versioned_head));
        let reply = if is_reply_lost {
            TransactionReply::Unknown
        } else {
            reply
        };
        self.outcomes[operator] = Some(interpret_commit_reply(&change, &reply));
    }

    fn transact(&mut self, request: &Transaction) -> TransactionReply {
        let stored_row = |name: &str| self.rows.iter().find(|row| row.row == name);
        let mut conflicts = Vec::new();
        for condition in &request.conditions {
            let row = stored_row(&condition.row);
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
            return TransactionReply::Conflict(conflicts);
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
        TransactionReply::Applied
    }

    /// Makes the host the reader and answers its reads until it requests no more.
    fn read_platform(&mut self, host: usize) {
        let peers = |is_reader| Event::PeersChanged {
            zone: vec![],
            other_zones: vec![],
            is_reader,
        };
        self.deliver_event(host, peers(true));
        let mut effects = self.deliver_event(host, Event::Tick);
        let requested_rows = |effect: &Effect| match effect {
            Effect::ReadRows { read, rows } => Some((*read, rows.clone())),
            _ => None,
        };
        while let Some((read, names)) = effects.iter().find_map(requested_rows) {
            let is_requested = |row: &&Row| names.contains(&row.row);
            let rows = Some(self.rows.iter().filter(is_requested).cloned().collect());
            effects = self.deliver_event(host, Event::RowsRead { read, rows });
        }
        self.deliver_event(host, peers(false));
    }

    fn deliver_event(&mut self, host: usize, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        dissemination::reduce(&mut self.hosts[host], self.now_ms, event, &mut effects);
        effects
    }

    fn assert_matches(&self, after: &State, applied: &[Action]) {
        for (host, expected) in self.hosts.iter().zip(&after.hosts) {
            let expected = expected.as_deref().map(tree);
            let found = host.tree().map(|tree| Tree::clone(tree));
            assert_eq!(found, expected, "after {applied:#?}");
        }
        for (operator, expected) in after.operators.iter().enumerate() {
            let found = self.outcomes[operator].as_ref();
            let is_same = match expected {
                Operator::Idle => found.is_none(),
                Operator::Committing { .. } => {
                    matches!(found, None | Some(CommitOutcome::Unknown))
                }
                Operator::Accepted { .. } => found == Some(&CommitOutcome::Accepted),
                Operator::Conflict => {
                    matches!(found, Some(CommitOutcome::Conflict { .. }))
                }
            };
            assert!(is_same, "{found:?} for {expected:?} after {applied:#?}");
        }
        for (index, operator) in after.log.iter().enumerate() {
            let name = change_row(Revision(index as u64 + 1));
            let row = self.rows.iter().find(|row| row.row == name).expect("a row");
            let value = serde_json::to_value(change(index + 1, *operator)).expect("JSON");
            assert_eq!(row.value, value);
        }
        let has_head = self.rows.iter().any(|row| row.row == HEAD_ROW);
        assert_eq!(has_head, !after.log.is_empty());
    }
}

fn start_host(host: u8) -> Host {
    Host::new(dissemination::Config::default(), host.into())
}

fn to_core(message: &Message) -> dissemination::Message {
    match message {
        Message::Delta { after, changes } => {
            let first = usize::from(*after) + 1;
            let revision = Revision((first + changes.len() - 1) as u64);
            let changes = changes.iter().enumerate();
            let changes =
                changes.map(|(index, operator)| change(first + index, *operator));
            let changes = changes.collect();
            dissemination::Message::Delta {
                changes,
                revision,
                age_ms: 0,
            }
        }
        Message::Snapshot { tree: changes } => dissemination::Message::Snapshot {
            revision: Revision(changes.len() as u64),
            tree: Arc::new(tree(changes)),
            age_ms: 0,
        },
    }
}
