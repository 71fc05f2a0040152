//! Under combined faults of platform, services and hosts, a request that isn't idempotent
//! runs at most once for its key, and one that was refused as not run has not run.

mod support;

use http::StatusCode;
use serde_json::json;
use support::client::{Reply, Request};
use support::process::Signal;
use support::proxied::{DeploymentConfig, ProxiedDeployment};
use support::wait_until;
use toucancleat_entry::http::CallError;
use toucancleat_standin::{CutReply, PlatformFaults, ProxyFaults, ServiceFaults};

/// The table of the claims.
const CLAIMS: &str = "claims";

/// A fault between the entry host and the platform.
#[derive(Clone, Copy)]
struct PlatformCase {
    name: &'static str,
    platform: fn(&mut PlatformFaults),
    link: fn(&mut ProxyFaults),
}

const PLATFORM_CASES: &[PlatformCase; 9] = &[
    PlatformCase {
        name: "platform without faults",
        platform: |_| {},
        link: |_| {},
    },
    PlatformCase {
        name: "platform rejects requests",
        platform: |faults| faults.reject = true,
        link: |_| {},
    },
    PlatformCase {
        name: "platform down",
        platform: |faults| faults.down = true,
        link: |_| {},
    },
    PlatformCase {
        name: "link to the platform refused",
        platform: |_| {},
        link: |faults| faults.refuse = true,
    },
    PlatformCase {
        name: "claim lost before it is applied",
        platform: |faults| {
            faults.drop_requests = 1;
            faults.table = Some(CLAIMS.to_owned());
        },
        link: |_| {},
    },
    PlatformCase {
        name: "reply lost after the claim is applied",
        platform: |faults| {
            faults.drop_replies = 1;
            faults.table = Some(CLAIMS.to_owned());
        },
        link: |_| {},
    },
    PlatformCase {
        name: "all replies about claims lost",
        platform: |faults| faults.drop_replies_of_table = Some(CLAIMS.to_owned()),
        link: |_| {},
    },
    PlatformCase {
        name: "platform slow",
        platform: |faults| faults.slow_ms = 150,
        link: |_| {},
    },
    PlatformCase {
        name: "link to the platform half-open",
        platform: |_| {},
        link: |faults| faults.to_client.discard = true,
    },
];

/// A fault at the services.
#[derive(Clone, Copy)]
struct ServiceCase {
    name: &'static str,
    /// The verdict that the caller receives if the claim is made.
    verdict: &'static str,
    service: fn(&mut ServiceFaults),
    link: fn(&mut ProxyFaults),
}

const SERVICE_CASES: &[ServiceCase] = &[
    ServiceCase {
        name: "services without faults",
        verdict: "Ran",
        service: |_| {},
        link: |_| {},
    },
    ServiceCase {
        name: "connection closed before the run",
        verdict: "MayHaveRun",
        service: |faults| faults.fail_before_run = 1,
        link: |_| {},
    },
    ServiceCase {
        name: "connection closed after the run",
        verdict: "MayHaveRun",
        service: |faults| faults.fail_after_run = 1,
        link: |_| {},
    },
    ServiceCase {
        name: "error before the run",
        verdict: "MayHaveRun",
        service: |faults| faults.error_before_run = 1,
        link: |_| {},
    },
    ServiceCase {
        name: "error after the run",
        verdict: "MayHaveRun",
        service: |faults| faults.error_after_run = 1,
        link: |_| {},
    },
    ServiceCase {
        name: "services reject",
        verdict: "NotRun",
        service: |faults| faults.reject = true,
        link: |_| {},
    },
    ServiceCase {
        name: "link refused",
        verdict: "NotRun",
        service: |_| {},
        link: |faults| faults.refuse = true,
    },
    ServiceCase {
        name: "reply cut",
        verdict: "MayHaveRun",
        service: |_| {},
        link: |faults| {
            faults.cut_reply = Some(CutReply {
                after_bytes: 20,
                times: 1,
                posts_only: true,
            })
        },
    },
    ServiceCase {
        name: "reply lost on a half-open link",
        verdict: "MayHaveRun",
        service: |_| {},
        link: |faults| faults.to_client.discard = true,
    },
];

fn config() -> DeploymentConfig {
    DeploymentConfig {
        engines: 0,
        services: 2,
        host_zones: &["upp-a", "upp-a"],
        values: json!({ "first_token_timeout_ms": 1_000 }),
    }
}

fn booking(key: &str) -> Request {
    let body = json!({ "key": key }).to_string();
    Request::service("booking", "coaches", &body).header("idempotency-key", key)
}

async fn inject_faults(
    deployment: &ProxiedDeployment,
    platform: &PlatformCase,
    service: &ServiceCase,
) {
    deployment.platform.set_faults(platform.platform);
    let platform_link = &deployment.platform_links[0];
    set_link_faults(platform_link, platform.link).await;
    for proxied in &deployment.services {
        proxied.standin.set_faults(service.service);
        set_link_faults(&proxied.proxy, service.link).await;
    }
}

async fn set_link_faults(
    proxy: &toucancleat_standin::FaultProxy,
    change: fn(&mut ProxyFaults),
) {
    let mut faults = ProxyFaults::default();
    change(&mut faults);
    let refuse = faults.refuse;
    proxy.set_faults(|current| *current = faults);
    proxy.wait_until_listening(!refuse).await;
    if refuse {
        proxy.reset_connections();
    }
}

/// Waits until a booking runs again through every host.
async fn wait_until_serving(deployment: &ProxiedDeployment, case: &str) {
    for host in 0..deployment.hosts.len() {
        let address = deployment.callers_address(host);
        let attempt = std::sync::atomic::AtomicU32::new(0);
        wait_until("a booking runs again", async || {
            let attempt = attempt.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            let request = booking(&format!("probe {case} {host} {attempt}"));
            let reply = request.send(address).await;
            reply.is_ok_and(|reply| reply.status == StatusCode::OK)
        })
        .await;
    }
}

/// Returns the verdict that the caller can conclude from a reply, or from none.
fn verdict(reply: &Result<Reply, CallError>) -> String {
    match reply {
        Ok(reply) => reply_verdict(reply),
        Err(_) => "MayHaveRun".to_owned(),
    }
}

fn reply_verdict(reply: &Reply) -> String {
    let header = reply.headers.get("x-verdict");
    let header = header.and_then(|value| value.to_str().ok());
    match header {
        Some(verdict) => verdict.to_owned(),
        None => reply
            .member("verdict")
            .as_str()
            .unwrap_or("none")
            .to_owned(),
    }
}

/// Returns the number of runs that one request of a caller caused.
fn runs_of_request(deployment: &ProxiedDeployment, reply: &Reply) -> usize {
    let request_id = reply.member("request_id");
    let services = deployment.services.iter();
    let runs = services.map(|service| {
        let runs = service.standin.records().runs;
        let of_request = |run: &&toucancleat_standin::RunRecord| {
            run.request_id.as_deref() == request_id.as_str()
        };
        runs.iter().filter(of_request).count()
    });
    runs.sum()
}

/// Compares a first reply with the runs, removes all faults and repeats the key.
async fn check_runs(
    deployment: &mut ProxiedDeployment,
    case: &str,
    key: &str,
    first: Result<Reply, CallError>,
) {
    let first_verdict = verdict(&first);
    let report = format!("{case}: {first:?}");
    let runs = deployment.runs_of(key);
    assert!(runs <= 1, "{runs} runs, {report}");
    match first_verdict.as_str() {
        "Ran" => assert_eq!(runs, 1, "{report}"),
        "NotRun" => assert_eq!(runs, 0, "{report}"),
        "MayHaveRun" => {}
        _ => panic!("no verdict, {report}"),
    }
    deployment.heal().await;
    wait_until_serving(deployment, case).await;
    for host in [1, 0] {
        let repeat = repeat_until_final(deployment, host, key, &first_verdict).await;
        let runs = deployment.runs_of(key);
        assert!(runs <= 1, "{runs} runs after a repeat, {report}");
        if reply_verdict(&repeat) == "Ran" {
            assert_eq!(runs, 1, "it did not run, {report}, {repeat:?}");
        }
    }
    if let Ok(first) = &first
        && first_verdict == "NotRun"
    {
        assert_eq!(
            runs_of_request(deployment, first),
            0,
            "it ran after it was refused as not run, {report}"
        );
    }
}

/// Repeats a key until the reply is final: a request that did not run may run now, and
/// one that may have run never runs again.
async fn repeat_until_final(
    deployment: &ProxiedDeployment,
    host: usize,
    key: &str,
    first_verdict: &str,
) -> Reply {
    let address = deployment.callers_address(host);
    let final_reply = std::sync::Mutex::new(None);
    wait_until("the reply to the key is final", async || {
        let reply = booking(key).send(address).await.expect("a reply");
        let verdict = reply_verdict(&reply);
        let is_still_unknown = first_verdict != "NotRun" && verdict == "MayHaveRun";
        let is_final = verdict == "Ran" || is_still_unknown;
        *final_reply.lock().expect("not poisoned") = Some(reply);
        is_final
    })
    .await;
    final_reply
        .into_inner()
        .expect("not poisoned")
        .expect("a reply")
}

/// Combines every fault at the services with some at the platform.
async fn run_combinations(platform_cases: &[PlatformCase]) {
    let mut deployment = ProxiedDeployment::start(config()).await;
    for platform in platform_cases {
        for service in SERVICE_CASES {
            let case = format!("{}, {}", platform.name, service.name);
            let key = case.replace([' ', ','], "-");
            inject_faults(&deployment, platform, service).await;
            let first = booking(&key).send(deployment.callers_address(0)).await;
            if platform.name == PLATFORM_CASES[0].name {
                assert_eq!(verdict(&first), service.verdict, "{case}: {first:?}");
            }
            check_runs(&mut deployment, &case, &key, first).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_runs_at_most_once_while_the_platform_rejects_or_is_down() {
    run_combinations(&PLATFORM_CASES[..3]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_runs_at_most_once_with_claims_or_replies_lost() {
    run_combinations(&PLATFORM_CASES[3..7]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_runs_at_most_once_with_a_slow_or_half_open_platform() {
    run_combinations(&PLATFORM_CASES[7..]).await;
}

/// A fault of the entry host or its caller while the service runs the request.
#[derive(Clone, Copy, Debug)]
enum HostFault {
    Killed,
    Paused,
    CallerDisconnected,
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_runs_once_when_its_host_or_caller_fails_meanwhile() {
    let mut deployment = ProxiedDeployment::start(config()).await;
    for fault in [
        HostFault::Killed,
        HostFault::Paused,
        HostFault::CallerDisconnected,
    ] {
        let case = format!("{fault:?}");
        for service in &deployment.services {
            service.standin.set_faults(|faults| faults.slow_ms = 300);
        }
        let address = deployment.callers_address(0);
        let request = booking(&case);
        let reply_task = tokio::spawn(async move { request.send(address).await });
        wait_until("a service has received the booking", async || {
            deployment.service_arrivals() > deployment.service_runs()
        })
        .await;
        match fault {
            HostFault::Killed => deployment.hosts[0].kill(),
            HostFault::Paused => deployment.hosts[0].signal(Signal::Stop),
            HostFault::CallerDisconnected => reply_task.abort(),
        }
        let concurrent_repeat = booking(&case).send(deployment.callers_address(1)).await;
        assert_ne!(
            verdict(&concurrent_repeat),
            "Ran",
            "{case}: {concurrent_repeat:?}"
        );
        wait_until("the service has run the booking", async || {
            deployment.runs_of(&case) == 1
        })
        .await;
        if matches!(fault, HostFault::Paused) {
            deployment.hosts[0].signal(Signal::Continue);
        }
        // There is no reply if the test disconnected the caller.
        if let Ok(first) = reply_task.await {
            check_runs(&mut deployment, &case, &case, first).await;
        }
        deployment.heal().await;
        wait_until_serving(&deployment, &case).await;
        assert_eq!(deployment.runs_of(&case), 1, "{case}");
    }
}
