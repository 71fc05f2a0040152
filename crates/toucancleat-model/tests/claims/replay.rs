//! Walks through the specification, taken by the reducer at the same time.

use std::collections::HashMap;

use toucancleat_core::claims::{
    self, Answer, Begin, BodyHash, ClaimToken, ConflictRow, Effect, Event, Outcome,
    PresentRow, RowState, TransactOutcome,
};
use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;
use toucancleat_model::claims::{
    Action, Config, Mark, Output, State, Step, Token, Write, apply, next,
};
use toucancleat_model::walk;

const WALKS: usize = 3_000;
const STEPS_MAX: usize = 40;
/// Longer than every pause and timeout of the claims.
const LONG_MS: u64 = 60_000;
const ROW: &str = "depot/k";

#[test]
fn reducer_follows_every_walk() {
    let config = Config {
        requests: &[3, 2],
        crashes: 2,
        broken: None,
    };
    let initial = State::new(&config);
    let mut rng = Rng::new(11);
    for _ in 0..WALKS {
        let steps = walk(&initial, |state| next(&config, state), &mut rng, STEPS_MAX);
        let mut hosts = Hosts::new(config.requests.len());
        let mut before = initial.clone();
        let mut taken = Vec::new();
        for (action, after) in steps {
            taken.push(action);
            let (_, expected) = apply(&config, &before, action).expect("a step");
            let outputs = hosts.take(&before, action, &expected);
            assert_eq!(outputs, expected, "after {taken:#?}");
            for (host, step) in after.hosts.iter().enumerate() {
                let idle = hosts.states[host].is_empty();
                assert_eq!(idle, *step == Step::Idle, "host {host} after {taken:#?}");
            }
            before = after;
        }
    }
}

/// The reducers of all hosts, and how their names map to those of the specification.
struct Hosts {
    states: Vec<claims::State>,
    now_ms: Vec<u64>,
    /// Number of the open transaction or read of each host.
    asked: Vec<u64>,
    tokens: HashMap<ClaimToken, Token>,
    starts: u128,
}

impl Hosts {
    fn new(count: usize) -> Self {
        let mut hosts = Hosts {
            states: Vec::new(),
            now_ms: vec![0; count],
            asked: vec![0; count],
            tokens: HashMap::new(),
            starts: 0,
        };
        for host in 0..count {
            let state = hosts.start(host);
            hosts.states.push(state);
        }
        hosts
    }

    fn start(&mut self, host: usize) -> claims::State {
        self.starts += 1;
        let name = HostName::new(&format!("entry-{host}"));
        claims::State::new(
            claims::Config::default(),
            &name,
            Incarnation(1),
            self.starts,
        )
    }

    fn take(
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
            self.learn_token(&effects, write.token);
        }
        effects
            .iter()
            .map(|effect| self.output(host, effect))
            .collect()
    }

    /// Maps an action to the event that it is for the reducer of a host.
    fn event(&mut self, before: &State, action: Action) -> Option<(usize, Event)> {
        let host = host_of(action)?;
        let step = before.hosts[host];
        let request = request(before, host);
        let transact = self.asked[host];
        let reply = |outcome| Event::TransactReply { transact, outcome };
        let event = match action {
            Action::Begin { .. } => {
                self.now_ms[host] += LONG_MS;
                begin(request)
            }
            Action::Answer { .. } => reply(self.answer(before, step)),
            Action::LoseReply { .. } | Action::Delay { .. } => {
                reply(TransactOutcome::Unknown)
            }
            Action::Reject { .. } => reply(TransactOutcome::Rejected {
                retry_after_ms: 1_000,
            }),
            Action::Read { .. } => {
                let rows = Some(self.present(before).into_iter().collect());
                Event::ReadReply {
                    read: transact,
                    rows,
                }
            }
            Action::FailRead { .. } => Event::ReadReply {
                read: transact,
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
                outcome: ran(),
            },
            Action::Disprove { .. } => Event::Finished {
                request,
                outcome: Outcome::NotRun,
            },
            Action::Crash { .. } => {
                self.states[host] = self.start(host);
                return None;
            }
            action => panic!("{action:?}"),
        };
        Some((host, event))
    }

    fn answer(&self, before: &State, step: Step) -> TransactOutcome {
        let Step::Writing { write, .. } = step else {
            panic!("{step:?}")
        };
        let version = u64::from(before.row.version);
        if write.version == before.row.version {
            return TransactOutcome::Applied {
                versions: vec![version + 1],
            };
        }
        let present = self.present(before).map(|row| (row.version, row.value));
        let rows = vec![ConflictRow {
            row: ROW.to_owned(),
            present,
        }];
        TransactOutcome::Conflict { rows }
    }

    fn present(&self, before: &State) -> Option<PresentRow> {
        let (token, mark) = before.row.value?;
        let known = self.tokens.iter().find(|(_, known)| **known == token);
        let (claim_token, _) = known.expect("a token that was written");
        let state = match mark {
            Mark::Claimed => RowState::Claimed,
            Mark::Released => RowState::Released,
            Mark::Finished => RowState::Finished,
        };
        let answer = (state == RowState::Finished).then(stored);
        let value = claims::Row {
            token: *claim_token,
            body_sha256: BodyHash::of(b"a"),
            state,
            answer,
            expires_unix_ms: u64::MAX,
        };
        let version = before.row.version.into();
        Some(PresentRow {
            row: ROW.to_owned(),
            version,
            value: Some(value),
        })
    }

    fn learn_token(&mut self, effects: &[Effect], token: Token) {
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
            Effect::Transact { transact, writes } => {
                self.asked[host] = *transact;
                assert_eq!(writes.len(), 1);
                Output::Write(self.write(&writes[0]))
            }
            Effect::Read { read, .. } => {
                self.asked[host] = *read;
                Output::Read
            }
            Effect::PermitDispatch { request } => Output::Permit(token(request)),
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
        let mark = match write.value.state {
            RowState::Claimed => Mark::Claimed,
            RowState::Released => Mark::Released,
            RowState::Finished => Mark::Finished,
            state => panic!("{state:?}"),
        };
        Write {
            token: self.tokens[&write.value.token],
            mark,
            version: write.version.unwrap_or(0) as u8,
        }
    }
}

fn host_of(action: Action) -> Option<usize> {
    match action {
        Action::Begin { host }
        | Action::Answer { host }
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
        | Action::Disprove { host }
        | Action::Crash { host } => Some(host.into()),
        _ => None,
    }
}

/// The id of the host's present request, or of the next one.
fn request(before: &State, host: usize) -> RequestId {
    let number = match before.hosts[host] {
        Step::Idle => before.begun(host),
        _ => before.begun(host) - 1,
    };
    RequestId((host as u128) << 8 | u128::from(number))
}

fn begin(request: RequestId) -> Event {
    Event::Begin(Begin {
        request,
        organisation: OrganisationName::new("depot"),
        key: "k".to_owned(),
        body_sha256: BodyHash::of(b"a"),
        now_unix_ms: 0,
        expires_unix_ms: u64::MAX,
    })
}

fn ran() -> Outcome {
    Outcome::Ran(Answer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: b"booked".to_vec(),
    })
}

fn stored() -> claims::StoredAnswer {
    claims::StoredAnswer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: claims::StoredBody::Text("booked".to_owned()),
    }
}
