//! Replay of random walks through the specification of claims against the reducer.

use std::collections::HashMap;

use toucancleat_core::claims::{
    self, Answer, BodyHash, ClaimRequest, ClaimToken, ConflictRow, Effect, Event,
    RequestOutcome, RowState, StoredRow, TransactionOutcome,
};
use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;
use toucancleat_model::claims::{
    Action, ClaimStatus, Config, HostState, Output, State, Token, Write, apply,
    next_states,
};
use toucancleat_model::random_walk;

const WALKS: usize = 3_000;
const STEPS_MAX: usize = 40;
/// Longer than every pause and timeout of claims.
const LONG_MS: u64 = 60_000;
const ROW: &str = "depot/k";

#[test]
fn reducer_never_diverges_from_the_specification() {
    let config = Config {
        requests: &[3, 2],
        crashes_max: 2,
        mutation: None,
    };
    let initial = State::new(&config);
    let mut rng = Rng::new(11);
    for _ in 0..WALKS {
        let steps = random_walk(
            &initial,
            |state| next_states(&config, state),
            &mut rng,
            STEPS_MAX,
        );
        let mut hosts = Hosts::new(config.requests.len());
        let mut before = initial.clone();
        let mut applied = Vec::new();
        for (action, after) in steps {
            applied.push(action);
            let (_, expected) = apply(&config, &before, action).expect("a step");
            let outputs = hosts.apply(&before, action, &expected);
            assert_eq!(outputs, expected, "after {applied:#?}");
            for (host, host_state) in after.hosts.iter().enumerate() {
                let is_idle = hosts.states[host].is_empty();
                assert_eq!(
                    is_idle,
                    *host_state == HostState::Idle,
                    "host {host} after {applied:#?}"
                );
            }
            before = after;
        }
    }
}

/// The reducers of all hosts, and how their ids map to those of the specification.
struct Hosts {
    states: Vec<claims::State>,
    now_ms: Vec<u64>,
    /// Number of each host's pending transaction or read.
    pending_numbers: Vec<u64>,
    tokens: HashMap<ClaimToken, Token>,
    incarnations: u128,
}

impl Hosts {
    fn new(count: usize) -> Self {
        let mut hosts = Hosts {
            states: Vec::new(),
            now_ms: vec![0; count],
            pending_numbers: vec![0; count],
            tokens: HashMap::new(),
            incarnations: 0,
        };
        for host in 0..count {
            let state = hosts.start_host(host);
            hosts.states.push(state);
        }
        hosts
    }

    fn start_host(&mut self, host: usize) -> claims::State {
        self.incarnations += 1;
        let name = HostName::new(&format!("entry-{host}"));
        claims::State::new(
            claims::Config::default(),
            &name,
            Incarnation(1),
            self.incarnations,
        )
    }

    fn apply(
        &mut self,
        before: &State,
        action: Action,
        expected: &[Output],
    ) -> Vec<Output> {
        let Some((host, event)) = self.event(before, action) else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        claims::reduce(
            &mut self.states[host],
            self.now_ms[host],
            event,
            &mut effects,
        );
        if let (Action::Begin { .. }, [Output::Write(write)]) = (action, expected) {
            self.record_token(&effects, write.token);
        }
        effects
            .iter()
            .map(|effect| self.output(host, effect))
            .collect()
    }

    /// Returns the event that an action stands for, and the host that receives it.
    fn event(&mut self, before: &State, action: Action) -> Option<(usize, Event)> {
        let host = acting_host(action)?;
        let host_state = before.hosts[host];
        let request = request_id(before, host);
        let number = self.pending_numbers[host];
        let reply = |outcome| Event::TransactionReply {
            transaction: number,
            outcome,
        };
        let event = match action {
            Action::Begin { .. } => {
                self.now_ms[host] += LONG_MS;
                begin(request)
            }
            Action::CompleteWrite { .. } => {
                reply(self.transaction_outcome(before, host_state))
            }
            Action::LoseReply { .. } | Action::Delay { .. } => {
                reply(TransactionOutcome::Unknown)
            }
            Action::Reject { .. } => reply(TransactionOutcome::Rejected {
                retry_after_ms: 1_000,
            }),
            Action::Read { .. } => {
                let rows = Some(self.stored_row(before).into_iter().collect());
                Event::ReadReply { read: number, rows }
            }
            Action::FailRead { .. } => Event::ReadReply {
                read: number,
                rows: None,
            },
            Action::TimeOut { .. } | Action::Retry { .. } => {
                self.now_ms[host] += LONG_MS;
                Event::Tick
            }
            Action::Dispatch { .. } => Event::Dispatched { request },
            Action::Abandon { .. } => Event::Abandon { request },
            Action::Finish { .. } => Event::Finished {
                request,
                outcome: ran_outcome(),
            },
            Action::ProveNotRun { .. } => Event::Finished {
                request,
                outcome: RequestOutcome::NotRun,
            },
            Action::Crash { .. } => {
                self.states[host] = self.start_host(host);
                return None;
            }
            action => panic!("{action:?}"),
        };
        Some((host, event))
    }

    fn transaction_outcome(
        &self,
        before: &State,
        host_state: HostState,
    ) -> TransactionOutcome {
        let HostState::Writing { write, .. } = host_state else {
            panic!("{host_state:?}")
        };
        let version = u64::from(before.row.version);
        if write.version == before.row.version {
            return TransactionOutcome::Applied {
                versions: vec![version + 1],
            };
        }
        let current = self.stored_row(before).map(|row| (row.version, row.value));
        let rows = vec![ConflictRow {
            row: ROW.to_owned(),
            current,
        }];
        TransactionOutcome::Conflict { rows }
    }

    fn stored_row(&self, before: &State) -> Option<StoredRow> {
        let (token, status) = before.row.value?;
        let found = self.tokens.iter().find(|(_, known)| **known == token);
        let (claim_token, _) = found.expect("a recorded token");
        let state = match status {
            ClaimStatus::Claimed => RowState::Claimed,
            ClaimStatus::Released => RowState::Released,
            ClaimStatus::Finished => RowState::Finished,
        };
        let answer = (state == RowState::Finished).then(stored_answer);
        let value = claims::Row {
            token: *claim_token,
            body_sha256: BodyHash::of(b"a"),
            state,
            answer,
            expires_unix_ms: u64::MAX,
        };
        let version = before.row.version.into();
        Some(StoredRow {
            row: ROW.to_owned(),
            version,
            value: Some(value),
        })
    }

    fn record_token(&mut self, effects: &[Effect], token: Token) {
        if let [Effect::Transact { writes, .. }] = effects {
            self.tokens.insert(writes[0].value.token, token);
        }
    }

    fn output(&mut self, host: usize, effect: &Effect) -> Output {
        let token = |request: &RequestId| Token {
            host: (request.0 >> 8) as u8,
            number: request.0 as u8,
        };
        match effect {
            Effect::Transact {
                transaction,
                writes,
            } => {
                self.pending_numbers[host] = *transaction;
                assert_eq!(writes.len(), 1);
                Output::Write(self.write(&writes[0]))
            }
            Effect::Read { read, .. } => {
                self.pending_numbers[host] = *read;
                Output::Read
            }
            Effect::PermitDispatch { request } => Output::PermitDispatch(token(request)),
            Effect::Refuse {
                request,
                verdict: Verdict::NotRun,
                ..
            } => Output::RefuseNotRun(token(request)),
            Effect::Refuse { request, .. } => Output::RefuseMayHaveRun(token(request)),
            Effect::Replay { request, .. } => Output::Replay(token(request)),
            effect => panic!("{effect:?}"),
        }
    }

    fn write(&self, write: &claims::ConditionalWrite) -> Write {
        let status = match write.value.state {
            RowState::Claimed => ClaimStatus::Claimed,
            RowState::Released => ClaimStatus::Released,
            RowState::Finished => ClaimStatus::Finished,
            state => panic!("{state:?}"),
        };
        Write {
            token: self.tokens[&write.value.token],
            status,
            version: write.version.unwrap_or(0) as u8,
        }
    }
}

fn acting_host(action: Action) -> Option<usize> {
    match action {
        Action::Begin { host }
        | Action::CompleteWrite { host }
        | Action::LoseReply { host }
        | Action::Delay { host }
        | Action::Reject { host }
        | Action::Read { host }
        | Action::FailRead { host }
        | Action::TimeOut { host }
        | Action::Retry { host }
        | Action::Dispatch { host }
        | Action::Abandon { host }
        | Action::Finish { host }
        | Action::ProveNotRun { host }
        | Action::Crash { host } => Some(host.into()),
        _ => None,
    }
}

/// Returns the id of the host's current request, or of its next one if it is idle.
fn request_id(before: &State, host: usize) -> RequestId {
    let number = match before.hosts[host] {
        HostState::Idle => before.begun_requests(host),
        _ => before.begun_requests(host) - 1,
    };
    RequestId((host as u128) << 8 | u128::from(number))
}

fn begin(request: RequestId) -> Event {
    Event::Begin(ClaimRequest {
        request,
        organisation: OrganisationName::new("depot"),
        key: "k".to_owned(),
        body_sha256: BodyHash::of(b"a"),
        now_unix_ms: 0,
        expires_unix_ms: u64::MAX,
    })
}

fn ran_outcome() -> RequestOutcome {
    RequestOutcome::Ran(Answer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: b"booked".to_vec(),
    })
}

fn stored_answer() -> claims::StoredAnswer {
    claims::StoredAnswer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: claims::StoredBody::Text("booked".to_owned()),
    }
}
