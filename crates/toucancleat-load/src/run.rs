//! Runs one arm of an experiment on one seed.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::task::JoinSet;
use toucancleat_core::accounts::{Event, LengthOracle, Limits, Outcome, Request};
use toucancleat_core::prelude::*;
use toucancleat_core::routing::prefix_hashes;
use volo_http::client::{Client, ClientBuilder};

use crate::caller::{Answer, AnswerState, CompletionRequest, stream_completion};
use crate::engines::{Engines, POOL, read_load};
use crate::hosts::{Clock, Decision, Host, Hosts};
use crate::measurements::{Measurements, Sample};
use crate::spec::{Arm, Spec};
use crate::workload::{Arrival, TOKEN_BYTES, draw_arrivals};

/// Consecutive failed reads of an engine's load after which the hosts treat it as lost.
const FAILED_READS_MAX: u32 = 2;

/// State that the tasks of a run share.
struct RunContext {
    spec: Spec,
    policy: toucancleat_core::settings::RoutingPolicy,
    clock: Clock,
    client: Client,
    addresses: HashMap<TargetName, SocketAddr>,
}

/// Runs one arm on one seed and measures it.
pub async fn run_arm(spec: &Spec, arm: Arm, seed: u64) -> io::Result<Measurements> {
    let arrivals = draw_arrivals(spec, seed);
    let engines = Engines::start(spec).await?;
    let clock = Clock::new(spec.time_scale);
    let oracle = (arm == Arm::KnownLengths).then(|| length_oracle(&arrivals));
    let hosts = Hosts::start(spec.hosts, &engines.specs, seed, clock, oracle);
    let hosts = Arc::new(hosts);
    let client = ClientBuilder::new().build().map_err(io::Error::other)?;
    let names = engines.specs.iter().map(|target| target.name.clone());
    let context = Arc::new(RunContext {
        spec: spec.clone(),
        policy: arm.policy(),
        clock,
        client,
        addresses: names.zip(engines.addresses.iter().copied()).collect(),
    });
    let mut readers = JoinSet::new();
    for (target, address) in context.addresses.clone() {
        readers.spawn(poll_load(context.clone(), hosts.clone(), target, address));
    }
    let samples = send_requests(&context, &hosts, &engines, arrivals).await;
    readers.shutdown().await;
    let preemptions = engines.preemptions();
    Ok(Measurements::new(
        spec,
        samples,
        preemptions,
        hosts.message_count(),
    ))
}

/// Sends every request at its scheduled time, whether or not earlier ones have been answered.
async fn send_requests(
    context: &Arc<RunContext>,
    hosts: &Arc<Hosts>,
    engines: &Engines,
    arrivals: Vec<Arrival>,
) -> Vec<Sample> {
    let mut calls = JoinSet::new();
    let mut kill = context.spec.kill.clone();
    for (index, arrival) in arrivals.into_iter().enumerate() {
        if let Some(kill_spec) = &kill {
            let kill_ms = (context.spec.warm_up_ms + kill_spec.at_ms) as f64;
            if arrival.at_ms >= kill_ms {
                tokio::time::sleep_until(context.clock.instant_at(kill_ms)).await;
                engines.kill(kill_spec.engine).await;
                kill = None;
            }
        }
        tokio::time::sleep_until(context.clock.instant_at(arrival.at_ms)).await;
        let host = hosts.balanced_host(index);
        calls.spawn(run_request(context.clone(), host, index, arrival));
    }
    let mut samples = Vec::new();
    while let Some(sample) = calls.join_next().await {
        samples.extend(sample.ok());
    }
    samples
}

/// Runs one request, with retries of attempts that fail before their first token.
async fn run_request(
    context: Arc<RunContext>,
    host: Arc<Host>,
    index: usize,
    arrival: Arrival,
) -> Sample {
    let mut sample = Sample::new(&arrival);
    let mut request = build_request(&context, index, &arrival);
    loop {
        let (target, priority) = match host.decide(request.clone()).await {
            Decision::Dispatched { target, priority } => (target, priority),
            Decision::Refused { reason, .. } => {
                sample.refusal = Some(reason);
                return sample;
            }
        };
        let answer =
            run_attempt(&context, &host, &request, &target, priority, &arrival).await;
        let tokens = answer.token_times.len() as u32;
        host.report_finished(request.generation, tokens, attempt_outcome(&answer));
        let should_retry = answer.state != AnswerState::Complete
            && tokens == 0
            && request.attempt < context.spec.bounds.retries_max;
        if !should_retry {
            sample.record_answer(&context.clock, answer);
            return sample;
        }
        request.attempt += 1;
        request.generation = GenerationId(request.generation.0 + (1 << 64));
        request.excluded.push(target);
    }
}

async fn run_attempt(
    context: &RunContext,
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
    let completion = CompletionRequest {
        address: context.addresses[target],
        headers,
        prompt: &arrival.prompt,
        output_tokens: arrival.output_tokens,
        max_output_tokens: request.max_output_tokens,
    };
    let generation = request.generation;
    stream_completion(&context.client, completion, |tokens| {
        host.report_progress(generation, tokens)
    })
    .await
}

fn build_request(context: &RunContext, index: usize, arrival: &Arrival) -> Request {
    let spec = &context.spec;
    let kind = &spec.kinds[arrival.kind];
    let organisation = &spec.organisations[arrival.organisation];
    // The stand-in engine writes only the first 8 digits of the generation into its tokens, so
    // these must differ between requests.
    let generation = ((index as u128 + 1) << 96) | index as u128;
    Request {
        id: RequestId(index as u128),
        generation: GenerationId(generation),
        pool: PoolName::new(POOL),
        organisation: OrganisationName::new(&organisation.name),
        kind: KindName::new(&kind.name),
        prompt_tokens: (arrival.prompt.len() / TOKEN_BYTES) as u32,
        max_output_tokens: kind.max_output_tokens,
        prefix_hashes: prefix_hashes(arrival.prompt.as_bytes()),
        deadline_unix_ms: context.clock.now_ms() + kind.deadline_ms,
        priority: kind.priority,
        weight: organisation.weight,
        limits: Limits {
            outgrow_chance_max: spec.bounds.outgrow_chance_max,
            step_time_max_ms: spec.bounds.step_time_max_ms,
            queue_timeout_ms: spec.bounds.queue_timeout_ms,
            policy: context.policy,
        },
        attempt: 0,
        retry_budget_ratio: spec.bounds.retry_budget_ratio,
        excluded: Vec::new(),
    }
}

fn attempt_outcome(answer: &Answer) -> Outcome {
    match answer.state {
        AnswerState::Complete => Outcome::Completed,
        AnswerState::Refused => Outcome::NotRun,
        _ => Outcome::Failed,
    }
}

/// Reads an engine's load at intervals and delivers it to every host.
///
/// Delivers the loss of the engine and returns when `FAILED_READS_MAX` reads in a row fail.
async fn poll_load(
    context: Arc<RunContext>,
    hosts: Arc<Hosts>,
    target: TargetName,
    address: SocketAddr,
) {
    let interval = context
        .clock
        .real_duration(context.spec.load_interval_ms as f64);
    let mut timer = tokio::time::interval(interval);
    let mut failed_reads = 0;
    while failed_reads < FAILED_READS_MAX {
        timer.tick().await;
        match read_load(&context.client, address).await {
            Some(report) => {
                failed_reads = 0;
                hosts.deliver_to_all_hosts(&Event::LoadReported {
                    target: target.clone(),
                    report,
                });
            }
            None => failed_reads += 1,
        }
    }
    hosts.deliver_to_all_hosts(&Event::TargetUnavailable { target });
}

/// Returns an oracle that finds the length of an answer by its complete prompt, which is
/// unique to each request.
fn length_oracle(arrivals: &[Arrival]) -> LengthOracle {
    let lengths: HashMap<u64, u32> = arrivals
        .iter()
        .filter_map(|arrival| {
            let hashes = prefix_hashes(arrival.prompt.as_bytes());
            Some((*hashes.last()?, arrival.output_tokens))
        })
        .collect();
    LengthOracle::new(move |hashes| lengths.get(hashes.last()?).copied())
}
