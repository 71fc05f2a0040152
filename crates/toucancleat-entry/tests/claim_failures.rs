//! At most once, whatever breaks: a request that isn't idempotent runs once at most for
//! its key, and one that was refused as not run has not run.

mod support;

use http::StatusCode;
use serde_json::json;
use support::client::{Ask, Reply};
use support::process::Signal;
use support::proxied::{Proxied, Shape};
use support::wait_until;
use toucancleat_entry::http::CallError;
use toucancleat_standin::{CutReply, PlatformFaults, ProxyFaults, ServiceFaults};

/// The table of the claims.
const CLAIMS: &str = "claims";

/// What breaks between the entry host and the platform.
#[derive(Clone, Copy)]
struct PlatformCause {
    name: &'static str,
    platform: fn(&mut PlatformFaults),
    link: fn(&mut ProxyFaults),
}

const PLATFORM_CAUSES: &[PlatformCause; 9] = &[
    PlatformCause {
        name: "platform well",
        platform: |_| {},
        link: |_| {},
    },
    PlatformCause {
        name: "platform rejects",
        platform: |faults| faults.reject = true,
        link: |_| {},
    },
    PlatformCause {
        name: "platform down",
        platform: |faults| faults.down = true,
        link: |_| {},
    },
    PlatformCause {
        name: "link to the platform refused",
        platform: |_| {},
        link: |faults| faults.refuse = true,
    },
    PlatformCause {
        name: "claim lost before its effect",
        platform: |faults| {
            faults.drop_requests = 1;
            faults.table = Some(CLAIMS.to_owned());
        },
        link: |_| {},
    },
    PlatformCause {
        name: "reply lost after the effect",
        platform: |faults| {
            faults.drop_replies = 1;
            faults.table = Some(CLAIMS.to_owned());
        },
        link: |_| {},
    },
    PlatformCause {
        name: "all replies about claims lost",
        platform: |faults| faults.drop_replies_of_table = Some(CLAIMS.to_owned()),
        link: |_| {},
    },
    PlatformCause {
        name: "platform slow",
        platform: |faults| faults.slow_ms = 150,
        link: |_| {},
    },
    PlatformCause {
        name: "link to the platform half-open",
        platform: |_| {},
        link: |faults| faults.to_client.discard = true,
    },
];

/// What breaks at the services.
#[derive(Clone, Copy)]
struct ServiceCause {
    name: &'static str,
    /// What the caller is told when the claim stands.
    verdict: &'static str,
    service: fn(&mut ServiceFaults),
    link: fn(&mut ProxyFaults),
}

const SERVICE_CAUSES: &[ServiceCause] = &[
    ServiceCause {
        name: "services well",
        verdict: "Ran",
        service: |_| {},
        link: |_| {},
    },
    ServiceCause {
        name: "connection closed before the run",
        verdict: "MayHaveRun",
        service: |faults| faults.fail_before_run = 1,
        link: |_| {},
    },
    ServiceCause {
        name: "connection closed after the run",
        verdict: "MayHaveRun",
        service: |faults| faults.fail_after_run = 1,
        link: |_| {},
    },
    ServiceCause {
        name: "error before the run",
        verdict: "MayHaveRun",
        service: |faults| faults.error_before_run = 1,
        link: |_| {},
    },
    ServiceCause {
        name: "error after the run",
        verdict: "MayHaveRun",
        service: |faults| faults.error_after_run = 1,
        link: |_| {},
    },
    ServiceCause {
        name: "services reject",
        verdict: "NotRun",
        service: |faults| faults.reject = true,
        link: |_| {},
    },
    ServiceCause {
        name: "link refused",
        verdict: "NotRun",
        service: |_| {},
        link: |faults| faults.refuse = true,
    },
    ServiceCause {
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
    ServiceCause {
        name: "reply lost on a half-open link",
        verdict: "MayHaveRun",
        service: |_| {},
        link: |faults| faults.to_client.discard = true,
    },
];

fn shape() -> Shape {
    Shape {
        engines: 0,
        services: 2,
        host_zones: &["upp-a", "upp-a"],
        values: json!({ "first_token_timeout_ms": 1_000 }),
    }
}

fn booking(key: &str) -> Ask {
    let body = json!({ "key": key }).to_string();
    Ask::service("booking", "coaches", &body).header("idempotency-key", key)
}

async fn break_both(
    deployment: &Proxied,
    platform: &PlatformCause,
    service: &ServiceCause,
) {
    deployment.platform.set_faults(platform.platform);
    let platform_link = &deployment.platform_links[0];
    set_link(platform_link, platform.link).await;
    for behind in &deployment.services {
        behind.standin.set_faults(service.service);
        set_link(&behind.proxy, service.link).await;
    }
}

async fn set_link(proxy: &toucancleat_standin::FaultProxy, change: fn(&mut ProxyFaults)) {
    let mut faults = ProxyFaults::default();
    change(&mut faults);
    let refuse = faults.refuse;
    proxy.set_faults(|present| *present = faults);
    proxy.listening(!refuse).await;
    if refuse {
        proxy.cut();
    }
}

/// Waits until every host gives requests to every part of the deployment again.
async fn wait_until_serving(deployment: &Proxied, case: &str) {
    for host in 0..deployment.hosts.len() {
        let address = deployment.callers(host);
        let attempt = std::sync::atomic::AtomicU32::new(0);
        wait_until("a booking runs again", async || {
            let attempt = attempt.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            let ask = booking(&format!("probe {case} {host} {attempt}"));
            let reply = ask.send(address).await;
            reply.is_ok_and(|reply| reply.status == StatusCode::OK)
        })
        .await;
    }
}

/// What the caller may conclude from a reply, or from none.
fn verdict(reply: &Result<Reply, CallError>) -> String {
    match reply {
        Ok(reply) => verdict_of(reply),
        Err(_) => "MayHaveRun".to_owned(),
    }
}

fn verdict_of(reply: &Reply) -> String {
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

/// Returns the runs that one attempt of a caller caused.
fn runs_of_request(deployment: &Proxied, reply: &Reply) -> usize {
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

/// Compares a first reply with the runs, heals everything and repeats the key.
async fn check(
    deployment: &mut Proxied,
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
        let repeat = repeat_until_settled(deployment, host, key, &first_verdict).await;
        let runs = deployment.runs_of(key);
        assert!(runs <= 1, "{runs} runs after a repeat, {report}");
        if verdict_of(&repeat) == "Ran" {
            assert_eq!(runs, 1, "it did not run, {report}, {repeat:?}");
        }
    }
    if let Ok(first) = &first
        && first_verdict == "NotRun"
    {
        assert_eq!(
            runs_of_request(deployment, first),
            0,
            "it ran late, {report}"
        );
    }
}

/// Repeats a key: what did not run can run, and what may have run is never run again.
async fn repeat_until_settled(
    deployment: &Proxied,
    host: usize,
    key: &str,
    first_verdict: &str,
) -> Reply {
    let address = deployment.callers(host);
    let settled = std::sync::Mutex::new(None);
    wait_until("the key is settled", async || {
        let reply = booking(key).send(address).await.expect("a reply");
        let verdict = verdict_of(&reply);
        let stays_unknown = first_verdict != "NotRun" && verdict == "MayHaveRun";
        let done = verdict == "Ran" || stays_unknown;
        *settled.lock().expect("not poisoned") = Some(reply);
        done
    })
    .await;
    settled
        .into_inner()
        .expect("not poisoned")
        .expect("a reply")
}

/// Runs every cause at the services together with some at the platform.
async fn run_cases(platform_causes: &[PlatformCause]) {
    let mut deployment = Proxied::start(shape()).await;
    for platform in platform_causes {
        for service in SERVICE_CAUSES {
            let case = format!("{}, {}", platform.name, service.name);
            let key = case.replace([' ', ','], "-");
            break_both(&deployment, platform, service).await;
            let first = booking(&key).send(deployment.callers(0)).await;
            if platform.name == PLATFORM_CAUSES[0].name {
                assert_eq!(verdict(&first), service.verdict, "{case}: {first:?}");
            }
            check(&mut deployment, &case, &key, first).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_runs_once_at_most_with_the_platform_there() {
    run_cases(&PLATFORM_CAUSES[..3]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_runs_once_at_most_with_claims_lost() {
    run_cases(&PLATFORM_CAUSES[3..7]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_runs_once_at_most_with_the_platform_hard_to_reach() {
    run_cases(&PLATFORM_CAUSES[7..]).await;
}

/// What happens to the entry host while the service runs the request.
#[derive(Clone, Copy, Debug)]
enum HostCause {
    Killed,
    Paused,
    CallerGone,
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_outlives_its_host_without_a_second_run() {
    let mut deployment = Proxied::start(shape()).await;
    for cause in [HostCause::Killed, HostCause::Paused, HostCause::CallerGone] {
        let case = format!("{cause:?}");
        for service in &deployment.services {
            service.standin.set_faults(|faults| faults.slow_ms = 300);
        }
        let address = deployment.callers(0);
        let ask = booking(&case);
        let asking = tokio::spawn(async move { ask.send(address).await });
        wait_until("a service has the booking", async || {
            deployment.service_arrivals() > deployment.service_runs()
        })
        .await;
        match cause {
            HostCause::Killed => deployment.hosts[0].kill(),
            HostCause::Paused => deployment.hosts[0].signal(Signal::Stop),
            HostCause::CallerGone => asking.abort(),
        }
        let meanwhile = booking(&case).send(deployment.callers(1)).await;
        assert_ne!(verdict(&meanwhile), "Ran", "{case}: {meanwhile:?}");
        wait_until("the service has run the booking", async || {
            deployment.runs_of(&case) == 1
        })
        .await;
        if matches!(cause, HostCause::Paused) {
            deployment.hosts[0].signal(Signal::Continue);
        }
        // The caller is gone where the test aborted it.
        if let Ok(first) = asking.await {
            check(&mut deployment, &case, &case, first).await;
        }
        deployment.heal().await;
        wait_until_serving(&deployment, &case).await;
        assert_eq!(deployment.runs_of(&case), 1, "{case}");
    }
}
