//! Benchmark of the relay's overhead: the latency that it adds to a direct connection to the
//! engine, and its processor time per token.
//!
//! `cargo run --release -p toucancleat-load --bin relay` runs both arms against the same
//! stand-in engines on loopback and prints one JSON object. The measurements are for
//! docs/MEASURED.md; the benchmark asserts no bounds on them.

mod cpu_time;
mod deployment;

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use tokio::time::Instant;
use toucancleat_load::caller::{
    Answer, AnswerState, CompletionRequest, stream_completion,
};
use volo_http::client::{Client, ClientBuilder};

use self::deployment::Deployment;

/// Largest value of a histogram, in microseconds: one minute.
const HISTOGRAM_MAX_US: u64 = 60_000_000;
/// Pause between the starts of two streams, so that they don't all begin at once.
const START_SPACING: Duration = Duration::from_millis(2);

/// Compares the relay with a direct connection to the engine.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Concurrent streams in the latency arms.
    #[bpaf(fallback(64))]
    streams: usize,
    /// Tokens of each answer in the latency arms.
    #[bpaf(fallback(200))]
    tokens: u32,
    /// Concurrent streams in the throughput arm.
    #[bpaf(fallback(256))]
    busy_streams: usize,
    /// Tokens of each answer in the throughput arm.
    #[bpaf(fallback(2000))]
    busy_tokens: u32,
}

/// The addresses and headers that an arm's callers use.
struct Arm<'a> {
    addresses: &'a [SocketAddr],
    headers: Vec<(&'static str, String)>,
}

/// The latencies of one arm, in microseconds.
struct Latencies {
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    complete_answers: usize,
}

fn main() {
    let options = options().run();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .thread_name("callers")
        .enable_all()
        .build()
        .expect("the callers' runtime starts");
    let report = runtime.block_on(run(&options));
    #[allow(clippy::print_stdout, reason = "the report is the program's output")]
    {
        println!("{report:#}");
    }
}

async fn run(options: &Options) -> Value {
    let paced = Deployment::start(1.0).await;
    let direct = measure_latency(options, &paced.direct_arm()).await;
    let relayed = measure_latency(options, &paced.relayed_arm()).await;
    drop(paced);
    let busy = Deployment::start(1_000.0).await;
    let throughput = measure_throughput(options, &busy).await;
    json!({
        "latency": {
            "streams": options.streams,
            "tokens": options.tokens,
            "direct": render_latencies(&direct),
            "relayed": render_latencies(&relayed),
            "added_between_tokens_p99_us":
                p99_difference_us(&relayed.between_tokens, &direct.between_tokens),
            "added_first_token_p99_us":
                p99_difference_us(&relayed.first_token, &direct.first_token),
        },
        "throughput": throughput,
    })
}

async fn measure_latency(options: &Options, arm: &Arm<'_>) -> Latencies {
    let answers = run_streams(arm, options.streams, options.tokens).await;
    let mut latencies = Latencies {
        first_token: new_histogram(),
        between_tokens: new_histogram(),
        complete_answers: 0,
    };
    for (sent_at, answer) in answers {
        latencies.complete_answers += usize::from(answer.state == AnswerState::Complete);
        if let Some(first) = answer.token_times.first() {
            record(&mut latencies.first_token, first.duration_since(sent_at));
        }
        for pair in answer.token_times.windows(2) {
            record(
                &mut latencies.between_tokens,
                pair[1].duration_since(pair[0]),
            );
        }
    }
    latencies
}

async fn measure_throughput(options: &Options, deployment: &Deployment) -> Value {
    let before_ms = cpu_time::entry_threads_cpu_ms();
    let started_at = Instant::now();
    let arm = deployment.relayed_arm();
    let answers = run_streams(&arm, options.busy_streams, options.busy_tokens).await;
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let core_s = (cpu_time::entry_threads_cpu_ms() - before_ms) as f64 / 1_000.0;
    let tokens: usize = answers.iter().map(|(_, a)| a.token_times.len()).sum();
    let complete_answers = answers
        .iter()
        .filter(|(_, a)| a.state == AnswerState::Complete);
    json!({
        "streams": options.busy_streams,
        "whole": complete_answers.count(),
        "tokens": tokens,
        "elapsed_s": elapsed_s,
        "entry_host_core_s": core_s,
        "tokens_per_second": tokens as f64 / elapsed_s,
        "tokens_per_core_second": tokens as f64 / core_s,
    })
}

async fn run_streams(
    arm: &Arm<'_>,
    streams: usize,
    tokens: u32,
) -> Vec<(Instant, Answer)> {
    let client = ClientBuilder::new()
        .build()
        .expect("a client with default settings builds");
    let mut tasks = Vec::new();
    for index in 0..streams {
        let address = arm.addresses[index % arm.addresses.len()];
        let mut headers = arm.headers.clone();
        if headers.is_empty() {
            // An engine requires a generation id, which the entry host adds to the requests of
            // its callers.
            headers.push(("x-generation-id", format!("{:032x}", index + 1)));
        }
        let client: Client = client.clone();
        tasks.push(tokio::spawn(async move {
            let sent_at = Instant::now();
            let prompt = format!("stream {index}");
            let request = CompletionRequest {
                address,
                headers,
                prompt: &prompt,
                output_tokens: tokens,
                max_output_tokens: tokens,
            };
            (sent_at, stream_completion(&client, request, |_| {}).await)
        }));
        tokio::time::sleep(START_SPACING).await;
    }
    let mut answers = Vec::new();
    for task in tasks {
        answers.push(task.await.expect("a caller doesn't panic"));
    }
    answers
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(HISTOGRAM_MAX_US, 3).expect("the bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros() as u64);
}

fn render_latencies(latencies: &Latencies) -> Value {
    let quantiles = |h: &Histogram<u64>| {
        json!({
            "p50_us": h.value_at_quantile(0.5),
            "p95_us": h.value_at_quantile(0.95),
            "p99_us": h.value_at_quantile(0.99),
        })
    };
    json!({
        "whole": latencies.complete_answers,
        "first_token": quantiles(&latencies.first_token),
        "between_tokens": quantiles(&latencies.between_tokens),
    })
}

fn p99_difference_us(relayed: &Histogram<u64>, direct: &Histogram<u64>) -> i64 {
    relayed.value_at_quantile(0.99) as i64 - direct.value_at_quantile(0.99) as i64
}
