//! One arm of an experiment on one seed.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::task::JoinSet;
use toucancleat_core::accounts::{Event, LengthOracle, Limits, Outcome, Request};
use toucancleat_core::prelude::*;
use toucancleat_core::routing::prefix_hashes;
use volo_http::client::{Client, ClientBuilder};

use crate::caller::{Answer, Call, Ending, call};
use crate::engines::{Engines, POOL, read_load};
use crate::hosts::{Clock, Fate, Host, Hosts};
use crate::measurements::{Measured, Sample};
use crate::spec::{Arm, Spec};
use crate::workload::{Arrival, TOKEN_BYTES, arrivals};

/// Unanswered reads of an engine's load after which it counts as lost.
const FAILED_READS_MAX: u32 = 2;

/// What the tasks of a run share.
struct Shared {
    spec: Spec,
    policy: toucancleat_core::settings::RoutingPolicy,
    clock: Clock,
    client: Client,
    addresses: HashMap<TargetName, SocketAddr>,
}

/// Runs one arm on one seed and measures it.
pub async fn run(spec: &Spec, arm: Arm, seed: u64) -> io::Result<Measured> {
    let arrivals = arrivals(spec, seed);
    let engines = Engines::start(spec).await?;
    let clock = Clock::new(spec.time_scale);
    let oracle = (arm == Arm::KnownLengths).then(|| oracle(&arrivals));
    let hosts = Hosts::start(spec.hosts, &engines.specs, seed, clock, oracle);
    let hosts = Arc::new(hosts);
    let client = ClientBuilder::new().build().map_err(io::Error::other)?;
    let names = engines.specs.iter().map(|target| target.name.clone());
    let shared = Arc::new(Shared {
        spec: spec.clone(),
        policy: arm.policy(),
        clock,
        client,
        addresses: names.zip(engines.addresses.iter().copied()).collect(),
    });
    let mut readers = JoinSet::new();
    for (target, address) in shared.addresses.clone() {
        readers.spawn(read_loads(shared.clone(), hosts.clone(), target, address));
    }
    let samples = drive(&shared, &hosts, &engines, arrivals).await;
    readers.shutdown().await;
    let preemptions = engines.preemptions();
    Ok(Measured::new(spec, samples, preemptions, hosts.messages()))
}

/// Sends every request at its time, whatever became of earlier ones.
async fn drive(
    shared: &Arc<Shared>,
    hosts: &Arc<Hosts>,
    engines: &Engines,
    arrivals: Vec<Arrival>,
) -> Vec<Sample> {
    let mut calls = JoinSet::new();
    let mut kill = shared.spec.kill.clone();
    for (index, arrival) in arrivals.into_iter().enumerate() {
        if let Some(due) = &kill {
            let kill_ms = (shared.spec.warm_up_ms + due.at_ms) as f64;
            if arrival.at_ms >= kill_ms {
                tokio::time::sleep_until(shared.clock.instant(kill_ms)).await;
                engines.kill(due.engine).await;
                kill = None;
            }
        }
        tokio::time::sleep_until(shared.clock.instant(arrival.at_ms)).await;
        let host = hosts.balanced(index);
        calls.spawn(serve(shared.clone(), host, index, arrival));
    }
    let mut samples = Vec::new();
    while let Some(sample) = calls.join_next().await {
        samples.extend(sample.ok());
    }
    samples
}

/// Carries one request through its attempts.
async fn serve(
    shared: Arc<Shared>,
    host: Arc<Host>,
    index: usize,
    arrival: Arrival,
) -> Sample {
    let mut sample = Sample::new(&arrival);
    let mut request = request_of(&shared, index, &arrival);
    loop {
        let (target, priority) = match host.place(request.clone()).await {
            Fate::Dispatched { target, priority } => (target, priority),
            Fate::Refused { reason, .. } => {
                sample.refused = Some(reason);
                return sample;
            }
        };
        let answer =
            generate(&shared, &host, &request, &target, priority, &arrival).await;
        let tokens = answer.token_times.len() as u32;
        host.finished(request.generation, tokens, outcome_of(&answer));
        let retry = answer.ending != Ending::Whole
            && tokens == 0
            && request.attempt < shared.spec.bounds.retries_max;
        if !retry {
            sample.take(&shared.clock, answer);
            return sample;
        }
        request.attempt += 1;
        request.generation = GenerationId(request.generation.0 + (1 << 64));
        request.excluded.push(target);
    }
}

async fn generate(
    shared: &Shared,
    host: &Host,
    request: &Request,
    target: &TargetName,
    priority: u8,
    arrival: &Arrival,
) -> Answer {
    let headers = vec![
        ("x-generation-id", request.generation.to_string()),
        ("x-priority", priority.to_string()),
        ("x-deadline-unix-ms", request.deadline_unix_ms.to_string()),
    ];
    let sent = Call {
        address: shared.addresses[target],
        headers,
        prompt: &arrival.prompt,
        output_tokens: arrival.output_tokens,
        max_output_tokens: request.max_output_tokens,
    };
    let generation = request.generation;
    call(&shared.client, sent, |tokens| {
        host.progressed(generation, tokens)
    })
    .await
}

fn request_of(shared: &Shared, index: usize, arrival: &Arrival) -> Request {
    let spec = &shared.spec;
    let kind = &spec.kinds[arrival.kind];
    let organisation = &spec.organisations[arrival.organisation];
    // The first digits of the generation tell answers apart at the caller.
    let generation = ((index as u128 + 1) << 96) | index as u128;
    Request {
        request: RequestId(index as u128),
        generation: GenerationId(generation),
        pool: PoolName::new(POOL),
        organisation: OrganisationName::new(&organisation.name),
        kind: KindName::new(&kind.name),
        prompt_tokens: (arrival.prompt.len() / TOKEN_BYTES) as u32,
        max_output_tokens: kind.max_output_tokens,
        prefix_hashes: prefix_hashes(arrival.prompt.as_bytes()),
        deadline_unix_ms: shared.clock.now_ms() + kind.deadline_ms,
        priority: kind.priority,
        weight: organisation.weight,
        limits: Limits {
            outgrow_chance_max: spec.bounds.outgrow_chance_max,
            step_time_max_ms: spec.bounds.step_time_max_ms,
            queue_timeout_ms: spec.bounds.queue_timeout_ms,
            policy: shared.policy,
        },
        attempt: 0,
        retry_budget_ratio: spec.bounds.retry_budget_ratio,
        excluded: Vec::new(),
    }
}

fn outcome_of(answer: &Answer) -> Outcome {
    match answer.ending {
        Ending::Whole => Outcome::Completed,
        Ending::Refused => Outcome::NotRun,
        _ => Outcome::Failed,
    }
}

/// Reads an engine's load and tells every host, and when it doesn't answer any more.
async fn read_loads(
    shared: Arc<Shared>,
    hosts: Arc<Hosts>,
    target: TargetName,
    address: SocketAddr,
) {
    let interval = shared.clock.real(shared.spec.load_interval_ms as f64);
    let mut timer = tokio::time::interval(interval);
    let mut failed = 0;
    while failed < FAILED_READS_MAX {
        timer.tick().await;
        match read_load(&shared.client, address).await {
            Some(report) => {
                failed = 0;
                hosts.everywhere(&Event::LoadReported {
                    target: target.clone(),
                    report,
                });
            }
            None => failed += 1,
        }
    }
    hosts.everywhere(&Event::TargetLost { target });
}

/// Tells lengths by the whole prompt, which each request has of its own.
fn oracle(arrivals: &[Arrival]) -> LengthOracle {
    let lengths: HashMap<u64, u32> = arrivals
        .iter()
        .filter_map(|arrival| {
            let hashes = prefix_hashes(arrival.prompt.as_bytes());
            Some((*hashes.last()?, arrival.output_tokens))
        })
        .collect();
    LengthOracle::new(move |hashes| lengths.get(hashes.last()?).copied())
}
