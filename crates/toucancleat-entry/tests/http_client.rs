//! A failed call counts as not sent only if its connection was never opened.

use http::Method;
use toucancleat_entry::http::{CallError, HttpCall, HttpClient};
use toucancleat_standin::{
    CutReply, FaultProxy, FaultProxyConfig, ProxyFaults, Service, ServiceConfig,
};

/// Timeout of a call; only the cases without a reply wait for it.
const TIMEOUT_MS: u64 = 500;
const REPLY_MAX_BYTES: usize = 1_024;

struct Case {
    name: &'static str,
    set: fn(&mut ProxyFaults),
    /// Whether an earlier call leaves an idle connection, which is then reset.
    reset_idle: bool,
    not_sent: bool,
    refused: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "refused",
        set: |faults| faults.refuse = true,
        reset_idle: false,
        not_sent: true,
        refused: true,
    },
    Case {
        name: "refused after an idle connection was reset",
        set: |faults| faults.refuse = true,
        reset_idle: true,
        not_sent: true,
        refused: true,
    },
    Case {
        name: "reply cut before its first byte",
        set: |faults| {
            faults.cut_reply = Some(CutReply {
                after_bytes: 0,
                times: 1,
                posts_only: false,
            })
        },
        reset_idle: false,
        not_sent: false,
        refused: false,
    },
    Case {
        name: "request stalled",
        set: |faults| faults.to_upstream.stall = true,
        reset_idle: false,
        not_sent: false,
        refused: false,
    },
    Case {
        name: "reply lost",
        set: |faults| faults.to_client.discard = true,
        reset_idle: false,
        not_sent: false,
        refused: false,
    },
];

async fn call(client: &HttpClient, proxy: &FaultProxy) -> Result<(), CallError> {
    let call = HttpCall {
        address: proxy.address(),
        method: Method::POST,
        path: "/coaches",
        headers: Vec::new(),
        body: "stop 4".into(),
    };
    let reply = client.exchange(call, TIMEOUT_MS, REPLY_MAX_BYTES).await;
    reply.map(|_| ())
}

#[tokio::test]
async fn a_failed_call_is_not_sent_only_if_no_connection_was_opened() {
    for case in CASES {
        let service = Service::start(ServiceConfig::default())
            .await
            .expect("a service");
        let proxy = FaultProxy::start(FaultProxyConfig::new(service.address()))
            .await
            .expect("a proxy");
        let client = HttpClient::unpooled();
        if case.reset_idle {
            call(&client, &proxy).await.expect("a reply");
        }
        let arrivals = service.records().arrivals;
        proxy.set_faults(case.set);
        proxy.wait_until_listening(!case.refused).await;
        if case.reset_idle {
            proxy.reset_connections();
        }
        let error = call(&client, &proxy).await.expect_err(case.name);
        assert_eq!(
            error.is_not_sent(),
            case.not_sent,
            "{}: {error:?}",
            case.name
        );
        assert_eq!(error.is_refused(), case.refused, "{}: {error:?}", case.name);
        if case.not_sent {
            assert_eq!(service.records().arrivals, arrivals, "{}", case.name);
        }
    }
}
