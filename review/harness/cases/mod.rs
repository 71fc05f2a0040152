pub mod endless_lines;
pub mod herd_kill;
pub mod poison_part;
pub mod reader_stop;
pub mod revoke_last;
pub mod late_stop;
pub mod tiny_chunks;

use std::sync::Arc;
use std::time::Duration;

use crate::deployment::{Deployment, Exchange, Handler};

/// The zones of the deployment.
pub const ZONES: [&str; 4] = ["upp-a", "upp-b", "vas-a", "ore-a"];

/// Returns the operator's configuration: two services, and a route of each kind.
pub fn configuration(version: u64, is_draft_resumable: bool) -> String {
    configuration_with_keys(version, is_draft_resumable, &[crate::client::KEY])
}

/// Returns such a configuration in which the only tenant has these keys.
pub fn configuration_with_keys(version: u64, is_draft_resumable: bool, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let route = |path: &str, kind: &str, service: &str, (timeout_ms, slo_ms): (u32, u32), more: &str| {
        format!(
            "{{\"name\":\"r-{path}\",\"hostname\":\"{}\",\"path_prefix\":\"/{path}/\",\
             \"route_kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"slo_ms\":{slo_ms},\
             \"priority\":1,\"service\":\"{service}\",\"public\":false,{more}}}",
            crate::client::HOSTNAME,
        )
    };
    let draft = if is_draft_resumable {
        "\"max_attempts\":2,\"sticky\":true,\"resumable\":true,\"gap_slo_ms\":180"
    } else {
        "\"max_attempts\":1,\"sticky\":true,\"resumable\":false,\"gap_slo_ms\":180"
    };
    let routes = [
        route("draft", "streaming", "plan-llm", (39_000, 1_800), draft),
        route("check", "streaming", "plan-llm", (6_000, 1_500),
            "\"max_attempts\":2,\"sticky\":true,\"resumable\":true,\"gap_slo_ms\":180"),
        route("driver", "non_idempotent", "roster-api", (1_500, 150), "\"max_attempts\":1"),
        route("coach", "idempotent", "roster-api", (1_500, 150), "\"max_attempts\":2"),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"plan-llm\",\"health_path\":\"/healthz\",\"max_conns\":282,\"engine\":\
         {{\"slots\":24,\"kv_capacity\":34331,\"kv_token_bytes\":18432,\"link_mbps\":2700.0,\
         \"moves\":true,\"backups\":true,\"stride\":4,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"roster-api\",\"health_path\":\"/healthz\",\"max_conns\":110}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[{}],\"priority\":1}}]}}",
        routes.join(","),
        keys.join(","),
    )
}

/// Returns the headers of a request to a model: its size, and a prompt of its own.
pub fn model_headers(prompt_tokens: u32, output_tokens: u32) -> String {
    let id = crate::client::new_attempt_id();
    let own = prompt_tokens - 79;
    format!(
        "X-Model: m\r\nX-Token-Usage: {prompt_tokens},{output_tokens}\r\n\
         X-Prompt-Prefix: 5c1e07a2:79,{id}:{own}\r\n"
    )
}

/// Adds four sound servers of the service for lookups.
pub fn add_lookup_servers(deployment: &Deployment) {
    let handler: Handler = Arc::new(|mut exchange: Exchange| {
        std::thread::sleep(Duration::from_millis(30));
        let id = exchange.attempt_id().to_owned();
        let text = format!("{id} {}", "r".repeat(783));
        exchange.answer("200 OK", &text);
    });
    add_lookup_servers_with(deployment, &handler);
}

/// Adds four servers of the service for lookups.
pub fn add_lookup_servers_with(deployment: &Deployment, handler: &Handler) {
    for (number, zone) in ZONES.iter().enumerate() {
        let number = 40 + number as u8;
        deployment.add_server(number, ("roster-api", zone, "v1"), 6, handler.clone());
    }
}
