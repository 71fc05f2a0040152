//! Under faults between engine and caller, each token is delivered once, in order, and
//! from one generation of the caller's own request.

mod support;

use serde_json::json;
use support::client::Request;
use support::process::Signal;
use support::proxied::{DeploymentConfig, ProxiedDeployment};
use support::received_answer::{ReceivedAnswer, generations_of};
use support::wait_until;
use toucancleat_standin::{
    EngineFaults, GenerationState, InvalidEvent, InvalidEventKind, ProxyFaults, StreamCut,
};

/// Tokens that the caller has received when a fault is injected in mid-stream.
const TOKENS_BEFORE: u32 = 5;
/// Tokens of a whole answer.
const TOKENS: u32 = 40;

/// When the fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    BeforeFirstToken,
    MidStream,
}

/// The fault that is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    EngineKilled,
    LinkCut,
    LinkCutAndRefused,
    LinkStalled,
    ReplyStalledUntilResumed,
    ReplyBytesLost,
    HostPaused,
    PlatformUnreachable,
    PlatformStalled,
}

/// The required end of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    Whole,
    Verdict(&'static str),
}

struct Case {
    phase: Phase,
    fault: Fault,
    expected: Expected,
}

const fn case(phase: Phase, fault: Fault, expected: Expected) -> Case {
    Case {
        phase,
        fault,
        expected,
    }
}

const CASES: &[Case] = &[
    case(
        Phase::BeforeFirstToken,
        Fault::EngineKilled,
        Expected::Whole,
    ),
    case(
        Phase::MidStream,
        Fault::EngineKilled,
        Expected::Verdict("MayHaveRun"),
    ),
    case(Phase::BeforeFirstToken, Fault::LinkCut, Expected::Whole),
    case(Phase::MidStream, Fault::LinkCut, Expected::Whole),
    case(
        Phase::BeforeFirstToken,
        Fault::LinkCutAndRefused,
        Expected::Whole,
    ),
    case(
        Phase::MidStream,
        Fault::LinkCutAndRefused,
        Expected::Verdict("MayHaveRun"),
    ),
    case(Phase::BeforeFirstToken, Fault::LinkStalled, Expected::Whole),
    case(
        Phase::MidStream,
        Fault::LinkStalled,
        Expected::Verdict("MayHaveRun"),
    ),
    case(
        Phase::MidStream,
        Fault::ReplyStalledUntilResumed,
        Expected::Whole,
    ),
    case(Phase::MidStream, Fault::ReplyBytesLost, Expected::Whole),
    case(Phase::BeforeFirstToken, Fault::HostPaused, Expected::Whole),
    case(Phase::MidStream, Fault::HostPaused, Expected::Whole),
    case(
        Phase::BeforeFirstToken,
        Fault::PlatformUnreachable,
        Expected::Whole,
    ),
    case(
        Phase::MidStream,
        Fault::PlatformUnreachable,
        Expected::Whole,
    ),
    case(Phase::MidStream, Fault::PlatformStalled, Expected::Whole),
];

fn config() -> DeploymentConfig {
    DeploymentConfig {
        engines: 2,
        services: 0,
        host_zones: &["upp-a"],
        values: json!({ "stall_timeout_ms": 700, "first_token_timeout_ms": 5_000 }),
    }
}

/// An answer into which a fault is injected at a known point.
struct FrozenAnswer {
    prompt: String,
    /// Index of the engine that runs it.
    engine: usize,
    reader: tokio::task::JoinHandle<ReceivedAnswer>,
}

impl FrozenAnswer {
    /// Sends the request and waits until the answer has reached its phase, where its
    /// engine is frozen.
    async fn start(
        deployment: &ProxiedDeployment,
        phase: Phase,
        prompt: &str,
    ) -> FrozenAnswer {
        let at_token = match phase {
            Phase::BeforeFirstToken => 0,
            Phase::MidStream => TOKENS_BEFORE,
        };
        deployment.set_engine_faults(|faults| faults.freeze_at_token = Some(at_token));
        let request = Request::draft("draft", prompt, TOKENS);
        let address = deployment.callers_address(0);
        let (reached, at_phase) = tokio::sync::oneshot::channel();
        let reader = tokio::spawn(async move {
            read_to_end(&request, address, at_token as usize, reached).await
        });
        wait_until("an engine has the request", async || {
            deployment.engine_of_prompt(prompt).is_some()
        })
        .await;
        if phase == Phase::MidStream {
            at_phase.await.expect("the first tokens reach the caller");
        }
        FrozenAnswer {
            engine: deployment.engine_of_prompt(prompt).expect("an engine"),
            prompt: prompt.to_owned(),
            reader,
        }
    }

    /// Lets the engines continue, and returns what the caller received.
    async fn finish(self, deployment: &ProxiedDeployment) -> ReceivedAnswer {
        unfreeze(deployment);
        self.reader.await.expect("the caller reads to the end")
    }
}

/// Reads an answer to its end, and signals when a number of tokens has been received.
async fn read_to_end(
    request: &Request,
    address: std::net::SocketAddr,
    at_token: usize,
    reached: tokio::sync::oneshot::Sender<()>,
) -> ReceivedAnswer {
    let mut stream = match request.try_stream(address).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(reply)) => return ReceivedAnswer::from_refusal(&reply),
        Err(_) => return ReceivedAnswer::default(),
    };
    let mut received = ReceivedAnswer::begun();
    let first = stream.read_tokens(at_token).await;
    received.texts = first.into_iter().map(|(_, text)| text).collect();
    // The receiver is gone if the answer was interrupted earlier.
    let _ = reached.send(());
    ReceivedAnswer::read_rest(&mut stream, received).await
}

fn unfreeze(deployment: &ProxiedDeployment) {
    deployment.set_engine_faults(|faults| faults.freeze_at_token = None);
}

fn stall(faults: &mut ProxyFaults) {
    faults.to_client.stall = true;
    faults.to_upstream.stall = true;
}

/// Injects a fault, and ends it if its name implies that.
async fn inject_fault(
    fault: Fault,
    deployment: &mut ProxiedDeployment,
    answer: &FrozenAnswer,
) {
    let engine = answer.engine;
    match fault {
        Fault::EngineKilled => deployment.kill_engine(engine).await,
        Fault::LinkCut => deployment.engines[engine].proxy.reset_connections(),
        Fault::LinkCutAndRefused => {
            let proxy = &deployment.engines[engine].proxy;
            proxy.set_faults(|faults| faults.refuse = true);
            proxy.wait_until_listening(false).await;
            proxy.reset_connections();
        }
        Fault::LinkStalled => deployment.engines[engine].proxy.set_faults(stall),
        Fault::ReplyStalledUntilResumed => stall_until_resumed(deployment, answer).await,
        Fault::ReplyBytesLost => lose_reply_bytes(deployment, engine).await,
        Fault::HostPaused => pause_host(deployment, answer).await,
        Fault::PlatformUnreachable => {
            let link = &deployment.platform_links[0];
            link.set_faults(|faults| faults.refuse = true);
            link.wait_until_listening(false).await;
            link.reset_connections();
        }
        Fault::PlatformStalled => deployment.platform_links[0].set_faults(stall),
    }
}

/// Stalls the reply until the host has resumed the stream.
async fn stall_until_resumed(deployment: &ProxiedDeployment, answer: &FrozenAnswer) {
    let proxy = &deployment.engines[answer.engine].proxy;
    proxy.set_faults(|faults| faults.to_client.stall = true);
    unfreeze(deployment);
    wait_until("the host resumes the stream", async || {
        let generations = generations_of(&answer.prompt, deployment);
        generations.iter().any(|generation| generation.resumes > 0)
    })
    .await;
    proxy.set_faults(|faults| *faults = ProxyFaults::default());
}

/// Loses bytes in the middle of the reply, as a half-open connection does.
async fn lose_reply_bytes(deployment: &ProxiedDeployment, engine: usize) {
    let proxy = &deployment.engines[engine].proxy;
    proxy.set_faults(|faults| faults.to_client.discard = true);
    unfreeze(deployment);
    wait_until("bytes are lost", async || {
        proxy.records().discarded_bytes > 0
    })
    .await;
    proxy.set_faults(|faults| *faults = ProxyFaults::default());
}

/// Pauses the host until its engine has finished.
async fn pause_host(deployment: &ProxiedDeployment, answer: &FrozenAnswer) {
    deployment.hosts[0].signal(Signal::Stop);
    unfreeze(deployment);
    wait_until("the engine has finished", async || {
        let generations = generations_of(&answer.prompt, deployment);
        let mut states = generations.iter().map(|generation| generation.state);
        states.any(|state| state == GenerationState::Finished)
    })
    .await;
    deployment.hosts[0].signal(Signal::Continue);
}

/// Waits until the deployment serves a whole answer again and every target is admitted.
async fn wait_until_serving(deployment: &ProxiedDeployment) {
    let address = deployment.callers_address(0);
    wait_until("an answer is whole again", async || {
        // N.B. an open circuit breaker closes after trials, which need requests.
        let received =
            ReceivedAnswer::read(&Request::draft("draft", "probe", 2), address).await;
        received.is_whole && deployment.all_targets_admitted(0).await
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_whole_or_ends_with_its_verdict() {
    let mut deployment = ProxiedDeployment::start(config()).await;
    for case in CASES {
        let name = format!("{:?} {:?}", case.fault, case.phase);
        deployment.heal().await;
        wait_until_serving(&deployment).await;
        let answer = FrozenAnswer::start(&deployment, case.phase, &name).await;
        inject_fault(case.fault, &mut deployment, &answer).await;
        let received = answer.finish(&deployment).await;
        received.check_records(&name, &name, &deployment);
        received.check_is_answered(&name);
        match case.expected {
            Expected::Whole => assert!(received.is_whole, "{name}: {received:?}"),
            Expected::Verdict(verdict) => {
                assert_eq!(
                    received.verdict.as_deref(),
                    Some(verdict),
                    "{name}: {received:?}"
                );
            }
        }
    }
}

struct ViolationCase {
    name: &'static str,
    set: fn(&mut EngineFaults),
}

macro_rules! violation {
    ($kind:ident) => {
        ViolationCase {
            name: stringify!($kind),
            set: |faults| {
                faults.nonsense = Some(InvalidEvent {
                    kind: InvalidEventKind::$kind,
                    token: TOKENS_BEFORE,
                    times: 1,
                })
            },
        }
    };
}

const VIOLATION_CASES: &[ViolationCase] = &[
    violation!(BadEvent),
    violation!(WrongGeneration),
    violation!(SkippedIndex),
    violation!(RepeatedIndex),
    violation!(HugeFrame),
    ViolationCase {
        name: "stream cut by the engine",
        set: |faults| {
            faults.cut = Some(StreamCut {
                token: TOKENS_BEFORE,
                times: 1,
            })
        },
    },
    ViolationCase {
        name: "silent stream",
        set: |faults| faults.stall_at_token = Some(TOKENS_BEFORE),
    },
];

#[tokio::test(flavor = "multi_thread")]
async fn a_protocol_violation_of_an_engine_never_reaches_the_caller() {
    let mut deployment = ProxiedDeployment::start(config()).await;
    for case in VIOLATION_CASES {
        deployment.heal().await;
        wait_until_serving(&deployment).await;
        deployment.set_engine_faults(case.set);
        let request = Request::draft("draft", case.name, TOKENS);
        let received =
            ReceivedAnswer::read(&request, deployment.callers_address(0)).await;
        received.check_records(case.name, case.name, &deployment);
        received.check_is_answered(case.name);
        assert!(!received.texts.is_empty(), "{}: {received:?}", case.name);
    }
}
