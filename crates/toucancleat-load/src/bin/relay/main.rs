//! What the relay adds: latency against a caller connected straight to the engine, and
//! processor time for each token.
//!
//! `cargo run --release -p toucancleat-load --bin relay` runs both arms against the same
//! stand-in engines on loopback and prints one JSON object. The figures are for
//! docs/MEASURED.md; nothing here is a test.

mod cpu_time;
mod deployment;

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use tokio::time::Instant;
use toucancleat_load::caller::{Answer, Call, Ending, call};
use volo_http::client::{Client, ClientBuilder};

use self::deployment::Deployment;

/// Largest time that a histogram holds, in microseconds.
const HISTOGRAM_MAX_US: u64 = 60_000_000;
/// Pause between the starts of two streams, so that not all ask in the same moment.
const START_SPACING: Duration = Duration::from_millis(2);

/// Compares the relay with a straight connection.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Streams at once in the latency arms.
    #[bpaf(fallback(64))]
    streams: usize,
    /// Tokens of each answer in the latency arms.
    #[bpaf(fallback(200))]
    tokens: u32,
    /// Streams at once in the throughput arm.
    #[bpaf(fallback(256))]
    busy_streams: usize,
    /// Tokens of each answer in the throughput arm.
    #[bpaf(fallback(2000))]
    busy_tokens: u32,
}

/// Where an arm's callers connect.
struct Arm<'a> {
    addresses: &'a [SocketAddr],
    headers: Vec<(&'static str, String)>,
}

/// The times of one arm, in microseconds.
struct Times {
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    whole: usize,
}

fn main() {
    let options = options().run();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .thread_name("callers")
        .enable_all()
        .build()
        .expect("a runtime for the callers");
    let report = runtime.block_on(run(&options));
    #[allow(clippy::print_stdout, reason = "the report is the program's output")]
    {
        println!("{report:#}");
    }
}

async fn run(options: &Options) -> Value {
    let paced = Deployment::start(1.0).await;
    let direct = latency(options, &paced.direct()).await;
    let relayed = latency(options, &paced.relayed()).await;
    drop(paced);
    let busy = Deployment::start(1_000.0).await;
    let throughput = throughput(options, &busy).await;
    json!({
        "latency": {
            "streams": options.streams,
            "tokens": options.tokens,
            "direct": describe(&direct),
            "relayed": describe(&relayed),
            "added_between_tokens_p99_us":
                difference(&relayed.between_tokens, &direct.between_tokens),
            "added_first_token_p99_us":
                difference(&relayed.first_token, &direct.first_token),
        },
        "throughput": throughput,
    })
}

async fn latency(options: &Options, arm: &Arm<'_>) -> Times {
    let answers = ask_all(arm, options.streams, options.tokens).await;
    let mut times = Times {
        first_token: histogram(),
        between_tokens: histogram(),
        whole: 0,
    };
    for (asked, answer) in answers {
        times.whole += usize::from(answer.ending == Ending::Whole);
        if let Some(first) = answer.token_times.first() {
            record(&mut times.first_token, first.duration_since(asked));
        }
        for pair in answer.token_times.windows(2) {
            record(&mut times.between_tokens, pair[1].duration_since(pair[0]));
        }
    }
    times
}

async fn throughput(options: &Options, deployment: &Deployment) -> Value {
    let before_ms = cpu_time::entry_threads_ms();
    let began = Instant::now();
    let arm = deployment.relayed();
    let answers = ask_all(&arm, options.busy_streams, options.busy_tokens).await;
    let elapsed_s = began.elapsed().as_secs_f64();
    let core_s = (cpu_time::entry_threads_ms() - before_ms) as f64 / 1_000.0;
    let tokens: usize = answers.iter().map(|(_, a)| a.token_times.len()).sum();
    let whole = answers.iter().filter(|(_, a)| a.ending == Ending::Whole);
    json!({
        "streams": options.busy_streams,
        "whole": whole.count(),
        "tokens": tokens,
        "elapsed_s": elapsed_s,
        "entry_host_core_s": core_s,
        "tokens_per_second": tokens as f64 / elapsed_s,
        "tokens_per_core_second": tokens as f64 / core_s,
    })
}

async fn ask_all(arm: &Arm<'_>, streams: usize, tokens: u32) -> Vec<(Instant, Answer)> {
    let client = ClientBuilder::new()
        .build()
        .expect("a client with default settings");
    let mut asking = Vec::new();
    for index in 0..streams {
        let address = arm.addresses[index % arm.addresses.len()];
        let mut headers = arm.headers.clone();
        if headers.is_empty() {
            // An engine wants each generation named; the entry host does that for its
            // callers.
            headers.push(("x-generation-id", format!("{:032x}", index + 1)));
        }
        let client: Client = client.clone();
        asking.push(tokio::spawn(async move {
            let asked = Instant::now();
            let prompt = format!("stream {index}");
            let wanted = Call {
                address,
                headers,
                prompt: &prompt,
                output_tokens: tokens,
                max_output_tokens: tokens,
            };
            (asked, call(&client, wanted, |_| {}).await)
        }));
        tokio::time::sleep(START_SPACING).await;
    }
    let mut answers = Vec::new();
    for task in asking {
        answers.push(task.await.expect("a caller does not panic"));
    }
    answers
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(HISTOGRAM_MAX_US, 3).expect("the bounds are constant")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros() as u64);
}

fn describe(times: &Times) -> Value {
    let quantiles = |h: &Histogram<u64>| {
        json!({
            "p50_us": h.value_at_quantile(0.5),
            "p95_us": h.value_at_quantile(0.95),
            "p99_us": h.value_at_quantile(0.99),
        })
    };
    json!({
        "whole": times.whole,
        "first_token": quantiles(&times.first_token),
        "between_tokens": quantiles(&times.between_tokens),
    })
}

fn difference(relayed: &Histogram<u64>, direct: &Histogram<u64>) -> i64 {
    relayed.value_at_quantile(0.99) as i64 - direct.value_at_quantile(0.99) as i64
}
