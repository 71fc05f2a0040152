//! Random schedules of three entry hosts that claim the same keys, with lost and delayed
//! replies, rejections and crashes.

use super::table::{Fault, Table};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use toucancleat_core::claims::{
    self, Answer, BodyHash, ClaimRequest, Effect, Event, RequestOutcome, State,
};
use toucancleat_core::prelude::*;

/// Number of keys that the requests use.
const KEYS: usize = 4;

#[derive(Clone, Debug)]
enum Step {
    Begin { host: usize, key: usize },
    Reply { index: usize, fault: Option<Fault> },
    Dispatch { index: usize },
    Finish { index: usize, proves_not_run: bool },
    Abandon { index: usize },
    Crash { host: usize },
    Tick { ms: u64 },
}

/// Three entry hosts that share one table, and a record of their observable behaviour.
struct Fleet {
    hosts: Vec<State>,
    table: Table,
    now_ms: u64,
    key_of: Vec<usize>,
    pending_operations: Vec<(usize, Effect)>,
    permitted: Vec<(usize, RequestId)>,
    running: Vec<(usize, RequestId)>,
    dispatched: Vec<RequestId>,
    refused_not_run: Vec<RequestId>,
    proved_not_run: Vec<RequestId>,
}

fn new_host(index: usize, seed: u128) -> State {
    let name = HostName::new(&format!("entry-{index}"));
    // One transaction at a time, so that claims of several keys share a transaction.
    let config = claims::Config {
        transactions_in_flight_max: 1,
        ..Default::default()
    };
    State::new(config, &name, Incarnation(1), seed)
}

fn remove_at<T>(from: &mut Vec<T>, index: usize) -> Option<T> {
    let index = index.checked_rem(from.len())?;
    Some(from.remove(index))
}

impl Fleet {
    fn new() -> Self {
        Fleet {
            hosts: (0..3).map(|index| new_host(index, index as u128)).collect(),
            table: Table::default(),
            now_ms: 0,
            key_of: vec![],
            pending_operations: vec![],
            permitted: vec![],
            running: vec![],
            dispatched: vec![],
            refused_not_run: vec![],
            proved_not_run: vec![],
        }
    }

    fn feed(&mut self, host: usize, event: Event) {
        let mut effects = Vec::new();
        claims::reduce(&mut self.hosts[host], self.now_ms, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::PermitDispatch { request } => {
                    self.permitted.push((host, request))
                }
                Effect::Refuse {
                    request,
                    verdict: Verdict::NotRun,
                    ..
                } => {
                    self.refused_not_run.push(request);
                }
                Effect::Transact { .. } | Effect::Read { .. } => {
                    self.pending_operations.push((host, effect));
                }
                _ => {}
            }
        }
    }

    fn apply_step(&mut self, step: Step) {
        match step {
            Step::Begin { host, key } => self.begin(host, key),
            Step::Reply { index, fault } => self.reply(index, fault),
            Step::Dispatch { index } => self.dispatch(index),
            Step::Finish {
                index,
                proves_not_run,
            } => self.finish(index, proves_not_run),
            Step::Abandon { index } => {
                if let Some((host, request)) = remove_at(&mut self.permitted, index) {
                    self.feed(host, Event::Abandon { request });
                }
            }
            Step::Crash { host } => self.crash(host),
            Step::Tick { ms } => {
                self.now_ms += ms;
                (0..3).for_each(|host| self.feed(host, Event::Tick));
            }
        }
    }

    fn begin(&mut self, host: usize, key: usize) {
        let request = RequestId(self.key_of.len() as u128);
        self.key_of.push(key);
        let claim_request = ClaimRequest {
            request,
            organisation: OrganisationName::new("depot"),
            key: format!("k{key}"),
            body_sha256: BodyHash::of(b"a"),
            now_unix_ms: 0,
            expires_unix_ms: 1,
        };
        self.feed(host, Event::Begin(claim_request));
    }

    fn reply(&mut self, index: usize, fault: Option<Fault>) {
        let Some((host, effect)) = remove_at(&mut self.pending_operations, index) else {
            return;
        };
        self.table.faults.extend(fault);
        let reply = self.table.reply(&effect).expect("a reply");
        self.feed(host, reply);
    }

    fn dispatch(&mut self, index: usize) {
        let Some((host, request)) = remove_at(&mut self.permitted, index) else {
            return;
        };
        self.feed(host, Event::Dispatched { request });
        self.dispatched.push(request);
        self.running.push((host, request));
    }

    fn finish(&mut self, index: usize, proves_not_run: bool) {
        let Some((host, request)) = remove_at(&mut self.running, index) else {
            return;
        };
        let answer = Answer {
            status: 200,
            content_type: "text/plain".to_owned(),
            body: b"done".to_vec(),
        };
        let outcome = if proves_not_run {
            RequestOutcome::NotRun
        } else {
            RequestOutcome::Ran(answer)
        };
        if proves_not_run {
            self.proved_not_run.push(request);
        }
        self.feed(host, Event::Finished { request, outcome });
    }

    fn crash(&mut self, crashed: usize) {
        self.hosts[crashed] = new_host(crashed, 1_000 + self.key_of.len() as u128);
        self.pending_operations.retain(|(host, _)| *host != crashed);
        self.permitted.retain(|(host, _)| *host != crashed);
        self.running.retain(|(host, _)| *host != crashed);
    }

    fn assert_invariants(&self) {
        for key in 0..KEYS {
            let ran = |request: &&RequestId| {
                self.key_of[request.0 as usize] == key
                    && !self.proved_not_run.contains(request)
            };
            let runs: Vec<_> = self.dispatched.iter().filter(ran).collect();
            assert!(runs.len() <= 1, "key {key} ran more than once: {runs:?}");
        }
        for request in &self.dispatched {
            assert!(
                !self.refused_not_run.contains(request),
                "{request} was refused"
            );
        }
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let fault = proptest::option::of(prop_oneof![
        Just(Fault::RequestLost),
        Just(Fault::ReplyLost),
        Just(Fault::DelayedWrite),
        Just(Fault::Rejected),
    ]);
    let index = any::<usize>;
    let step = prop_oneof![
        6 => (0..3usize, 0..KEYS).prop_map(|(host, key)| Step::Begin { host, key }),
        9 => (index(), fault).prop_map(|(index, fault)| Step::Reply { index, fault }),
        4 => index().prop_map(|index| Step::Dispatch { index }),
        2 => (index(), any::<bool>())
            .prop_map(|(index, proves_not_run)| Step::Finish { index, proves_not_run }),
        2 => index().prop_map(|index| Step::Abandon { index }),
        1 => (0..3usize).prop_map(|host| Step::Crash { host }),
        3 => (0..2_000u64).prop_map(|ms| Step::Tick { ms }),
    ];
    proptest::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn key_runs_at_most_once_in_any_schedule(steps in steps()) {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.apply_step(step);
            fleet.assert_invariants();
        }
    }
}
