//! Generations under failure: each token once, in order, from one generation of the very
//! request, whatever breaks between the engine and the caller.

mod support;

use serde_json::json;
use support::client::Ask;
use support::process::Signal;
use support::proxied::{Proxied, Shape};
use support::received_answer::{Told, generations_of};
use support::wait_until;
use toucancleat_standin::{
    AtToken, EngineFaults, GenerationState, Nonsense, NonsenseKind, ProxyFaults,
};

/// Tokens that have reached the caller when something breaks in mid-stream.
const TOKENS_BEFORE: u32 = 5;
/// Tokens of a whole answer.
const TOKENS: u32 = 40;

/// When something breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    BeforeFirstToken,
    MidStream,
}

/// What breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    EngineKilled,
    LinkCut,
    LinkCutAndRefused,
    LinkStalled,
    ReplyStalledUntilResumed,
    ReplyBytesLost,
    HostPaused,
    PlatformAway,
    PlatformStalled,
}

/// How the answer must end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    Whole,
    Verdict(&'static str),
}

struct Case {
    phase: Phase,
    cause: Cause,
    expected: Expected,
}

const fn case(phase: Phase, cause: Cause, expected: Expected) -> Case {
    Case {
        phase,
        cause,
        expected,
    }
}

const CASES: &[Case] = &[
    case(
        Phase::BeforeFirstToken,
        Cause::EngineKilled,
        Expected::Whole,
    ),
    case(
        Phase::MidStream,
        Cause::EngineKilled,
        Expected::Verdict("MayHaveRun"),
    ),
    case(Phase::BeforeFirstToken, Cause::LinkCut, Expected::Whole),
    case(Phase::MidStream, Cause::LinkCut, Expected::Whole),
    case(
        Phase::BeforeFirstToken,
        Cause::LinkCutAndRefused,
        Expected::Whole,
    ),
    case(
        Phase::MidStream,
        Cause::LinkCutAndRefused,
        Expected::Verdict("MayHaveRun"),
    ),
    case(Phase::BeforeFirstToken, Cause::LinkStalled, Expected::Whole),
    case(
        Phase::MidStream,
        Cause::LinkStalled,
        Expected::Verdict("MayHaveRun"),
    ),
    case(
        Phase::MidStream,
        Cause::ReplyStalledUntilResumed,
        Expected::Whole,
    ),
    case(Phase::MidStream, Cause::ReplyBytesLost, Expected::Whole),
    case(Phase::BeforeFirstToken, Cause::HostPaused, Expected::Whole),
    case(Phase::MidStream, Cause::HostPaused, Expected::Whole),
    case(
        Phase::BeforeFirstToken,
        Cause::PlatformAway,
        Expected::Whole,
    ),
    case(Phase::MidStream, Cause::PlatformAway, Expected::Whole),
    case(Phase::MidStream, Cause::PlatformStalled, Expected::Whole),
];

fn shape() -> Shape {
    Shape {
        engines: 2,
        services: 0,
        host_zones: &["upp-a"],
        values: json!({ "stall_timeout_ms": 700, "first_token_timeout_ms": 5_000 }),
    }
}

/// One answer that is interrupted at a known point.
struct Interrupted {
    prompt: String,
    /// The engine that runs it.
    engine: usize,
    reading: tokio::task::JoinHandle<Told>,
}

impl Interrupted {
    /// Asks, and waits until the answer stands at its phase, with its engine frozen.
    async fn begin(deployment: &Proxied, phase: Phase, prompt: &str) -> Interrupted {
        let at_token = match phase {
            Phase::BeforeFirstToken => 0,
            Phase::MidStream => TOKENS_BEFORE,
        };
        deployment.set_engine_faults(|faults| faults.freeze_at_token = Some(at_token));
        let ask = Ask::draft("draft", prompt, TOKENS);
        let address = deployment.callers(0);
        let (reached, at_phase) = tokio::sync::oneshot::channel();
        let reading = tokio::spawn(async move {
            read_through(&ask, address, at_token as usize, reached).await
        });
        wait_until("an engine has the request", async || {
            deployment.engine_with(prompt).is_some()
        })
        .await;
        if phase == Phase::MidStream {
            at_phase.await.expect("the first tokens reach the caller");
        }
        Interrupted {
            engine: deployment.engine_with(prompt).expect("an engine"),
            prompt: prompt.to_owned(),
            reading,
        }
    }

    /// Lets the engines go on, and returns all that the caller was told.
    async fn end(self, deployment: &Proxied) -> Told {
        thaw(deployment);
        self.reading.await.expect("the caller reads to the end")
    }
}

/// Reads a whole answer, and says when a number of tokens has come.
async fn read_through(
    ask: &Ask,
    address: std::net::SocketAddr,
    at_token: usize,
    reached: tokio::sync::oneshot::Sender<()>,
) -> Told {
    let mut stream = match ask.try_stream(address).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(reply)) => return Told::refused(&reply),
        Err(_) => return Told::default(),
    };
    let mut told = Told::begun();
    let first = stream.read_tokens(at_token).await;
    told.texts = first.into_iter().map(|(_, text)| text).collect();
    // Whoever waited for this has given up when an answer breaks off earlier.
    let _ = reached.send(());
    Told::read_rest(&mut stream, told).await
}

fn thaw(deployment: &Proxied) {
    deployment.set_engine_faults(|faults| faults.freeze_at_token = None);
}

fn stall(faults: &mut ProxyFaults) {
    faults.to_client.stall = true;
    faults.to_upstream.stall = true;
}

/// Brings a failure about, and ends it where its name says so.
async fn bring_about(cause: Cause, deployment: &mut Proxied, interrupted: &Interrupted) {
    let engine = interrupted.engine;
    match cause {
        Cause::EngineKilled => deployment.kill_engine(engine).await,
        Cause::LinkCut => deployment.engines[engine].proxy.cut(),
        Cause::LinkCutAndRefused => {
            let proxy = &deployment.engines[engine].proxy;
            proxy.set_faults(|faults| faults.refuse = true);
            proxy.listening(false).await;
            proxy.cut();
        }
        Cause::LinkStalled => deployment.engines[engine].proxy.set_faults(stall),
        Cause::ReplyStalledUntilResumed => {
            stall_until_resumed(deployment, interrupted).await
        }
        Cause::ReplyBytesLost => lose_reply_bytes(deployment, engine).await,
        Cause::HostPaused => pause_host(deployment, interrupted).await,
        Cause::PlatformAway => {
            let link = &deployment.platform_links[0];
            link.set_faults(|faults| faults.refuse = true);
            link.listening(false).await;
            link.cut();
        }
        Cause::PlatformStalled => deployment.platform_links[0].set_faults(stall),
    }
}

/// Stalls the reply until the host has asked for the rest of it.
async fn stall_until_resumed(deployment: &Proxied, interrupted: &Interrupted) {
    let proxy = &deployment.engines[interrupted.engine].proxy;
    proxy.set_faults(|faults| faults.to_client.stall = true);
    thaw(deployment);
    wait_until("the engine is asked for the rest", async || {
        let generations = generations_of(&interrupted.prompt, deployment);
        generations.iter().any(|generation| generation.resumes > 0)
    })
    .await;
    proxy.set_faults(|faults| *faults = ProxyFaults::default());
}

/// Loses bytes in the middle of the reply, as a half-open connection does.
async fn lose_reply_bytes(deployment: &Proxied, engine: usize) {
    let proxy = &deployment.engines[engine].proxy;
    proxy.set_faults(|faults| faults.to_client.discard = true);
    thaw(deployment);
    wait_until("bytes are lost", async || {
        proxy.records().discarded_bytes > 0
    })
    .await;
    proxy.set_faults(|faults| *faults = ProxyFaults::default());
}

/// Pauses the host until its engine has finished.
async fn pause_host(deployment: &Proxied, interrupted: &Interrupted) {
    deployment.hosts[0].signal(Signal::Stop);
    thaw(deployment);
    wait_until("the engine has finished", async || {
        let generations = generations_of(&interrupted.prompt, deployment);
        let mut states = generations.iter().map(|generation| generation.state);
        states.any(|state| state == GenerationState::Finished)
    })
    .await;
    deployment.hosts[0].signal(Signal::Continue);
}

/// Waits until the deployment serves a whole answer again, and no target is taken out.
async fn wait_until_serving(deployment: &Proxied) {
    let address = deployment.callers(0);
    wait_until("an answer is whole again", async || {
        // N.B. a target comes back by trials, which need requests.
        let told = Told::read(&Ask::draft("draft", "probe", 2), address).await;
        told.whole && deployment.all_targets_admitted(0).await
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_whole_or_its_end_is_told() {
    let mut deployment = Proxied::start(shape()).await;
    for case in CASES {
        let name = format!("{:?} {:?}", case.cause, case.phase);
        deployment.heal().await;
        wait_until_serving(&deployment).await;
        let interrupted = Interrupted::begin(&deployment, case.phase, &name).await;
        bring_about(case.cause, &mut deployment, &interrupted).await;
        let told = interrupted.end(&deployment).await;
        told.check(&name, &name, &deployment);
        told.check_ended(&name);
        match case.expected {
            Expected::Whole => assert!(told.whole, "{name}: {told:?}"),
            Expected::Verdict(verdict) => {
                assert_eq!(told.verdict.as_deref(), Some(verdict), "{name}: {told:?}");
            }
        }
    }
}

struct NonsenseCase {
    name: &'static str,
    set: fn(&mut EngineFaults),
}

macro_rules! nonsense {
    ($kind:ident) => {
        NonsenseCase {
            name: stringify!($kind),
            set: |faults| {
                faults.nonsense = Some(Nonsense {
                    kind: NonsenseKind::$kind,
                    token: TOKENS_BEFORE,
                    times: 1,
                })
            },
        }
    };
}

const NONSENSE_CASES: &[NonsenseCase] = &[
    nonsense!(BadEvent),
    nonsense!(WrongGeneration),
    nonsense!(SkippedIndex),
    nonsense!(RepeatedIndex),
    nonsense!(HugeFrame),
    NonsenseCase {
        name: "stream cut by the engine",
        set: |faults| {
            faults.cut = Some(AtToken {
                token: TOKENS_BEFORE,
                times: 1,
            })
        },
    },
    NonsenseCase {
        name: "silent stream",
        set: |faults| faults.stall_at_token = Some(TOKENS_BEFORE),
    },
];

#[tokio::test(flavor = "multi_thread")]
async fn what_an_engine_sends_wrongly_never_reaches_the_caller() {
    let mut deployment = Proxied::start(shape()).await;
    for case in NONSENSE_CASES {
        deployment.heal().await;
        wait_until_serving(&deployment).await;
        deployment.set_engine_faults(case.set);
        let ask = Ask::draft("draft", case.name, TOKENS);
        let told = Told::read(&ask, deployment.callers(0)).await;
        told.check(case.name, case.name, &deployment);
        told.check_ended(case.name);
        assert!(!told.texts.is_empty(), "{}: {told:?}", case.name);
    }
}
