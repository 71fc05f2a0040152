//! The deployment under test: stand-in engines, a stand-in platform, and one entry host whose
//! threads are identified by name.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use tokio::runtime::Runtime;
use toucancleat_core::prelude::*;
use toucancleat_core::settings::store::{self, VersionedHead};
use toucancleat_core::settings::{Change, Tree, api_key_sha256};
use toucancleat_entry::platform::{Condition, PlatformClient, TransactionReply, Write};
use toucancleat_entry::{Config, EntryHost};
use toucancleat_standin::model::ModelConfig;
use toucancleat_standin::{Engine, EngineConfig, Platform, PlatformConfig};

use super::Arm;
use super::cpu_time::ENTRY_THREAD;

/// Number of engines.
const ENGINES: usize = 4;
/// Maximum number of sequences that an engine decodes at once.
const MAX_BATCH: u32 = 256;
/// Blocks of cache memory of an engine: enough that no sequence is preempted.
const BLOCKS: u32 = 1_000_000;
/// API key of the organisation.
const API_KEY: &str = "relay-bench-key";
/// Pause between two checks whether the entry host is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The running stand-ins and entry host.
pub(crate) struct Deployment {
    _platform: Platform,
    engines: Vec<SocketAddr>,
    _standins: Vec<Engine>,
    host: EntryHost,
    runtime: Option<Runtime>,
}

impl Deployment {
    /// Starts engines that run `time_scale` times as fast as real time, and one entry host.
    ///
    /// Returns once the entry host is ready.
    pub(crate) async fn start(time_scale: f64) -> Self {
        let platform = Platform::start(PlatformConfig::default())
            .await
            .expect("the stand-in platform starts");
        let mut standins = Vec::new();
        for _ in 0..ENGINES {
            let config = EngineConfig {
                time_scale,
                model: ModelConfig {
                    max_batch: MAX_BATCH,
                    blocks_total: BLOCKS,
                    ..ModelConfig::default()
                },
                ..EngineConfig::default()
            };
            standins.push(
                Engine::start(config)
                    .await
                    .expect("the stand-in engine starts"),
            );
        }
        let engines: Vec<_> = standins.iter().map(Engine::address).collect();
        commit_settings(platform.address(), &settings_tree(&engines)).await;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .thread_name(ENTRY_THREAD)
            .enable_all()
            .build()
            .expect("the entry host's runtime starts");
        let config = Config::loopback("entry-1", "zone-a", platform.address());
        let host = runtime
            .spawn(EntryHost::start(config))
            .await
            .expect("the start doesn't panic")
            .expect("the entry host starts");
        while !host.is_ready() {
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Deployment {
            _platform: platform,
            engines,
            _standins: standins,
            host,
            runtime: Some(runtime),
        }
    }

    /// Returns the arm whose callers connect to the engines.
    pub(crate) fn direct_arm(&self) -> Arm<'_> {
        Arm {
            addresses: &self.engines,
            headers: Vec::new(),
        }
    }

    /// Returns the arm whose callers connect to the entry host.
    pub(crate) fn relayed_arm(&self) -> Arm<'static> {
        let address = self.host.callers_address();
        Arm {
            // Leaks one address per deployment, of which the program starts two.
            addresses: Box::leak(Box::new([address])),
            headers: vec![
                ("authorization", format!("Bearer {API_KEY}")),
                ("x-request-kind", "draft".to_owned()),
            ],
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

fn settings_tree(engines: &[SocketAddr]) -> Tree {
    let targets: serde_json::Map<_, _> = engines
        .iter()
        .enumerate()
        .map(|(index, address)| {
            let target = json!({
                "zone": "zone-a",
                "address": address.to_string(),
                "memory_tokens": u64::from(BLOCKS) * 16,
                "max_batch": MAX_BATCH,
            });
            (format!("engine-{index}"), target)
        })
        .collect();
    serde_json::from_value(json!({
        "zones": ["zone-a"],
        "pools": { "llm": { "class": "model_engine", "targets": targets } },
        "fleet": {
            "values": {
                "requests_per_second": 100_000.0,
                "concurrent_requests": 100_000,
                "step_time_max_ms": 1_000.0,
            },
            "kinds": { "draft": { "pool": "llm" } },
        },
        "live_events": { "bench": {
            "starts_at_unix_ms": 4_000_000_000_000_u64,
            "ends_at_unix_ms": 4_000_100_000_000_u64,
            "organisations": {
                "bench": { "api_key_sha256": [api_key_sha256(API_KEY)] },
            },
        } },
    }))
    .expect("the settings tree is valid")
}

async fn commit_settings(platform: SocketAddr, tree: &Tree) {
    let change = Change {
        revision: Revision(1),
        change_id: ChangeId(1),
        author: "bench".to_owned(),
        at_unix_ms: 0,
        edits: Tree::default().diff(tree),
    };
    let request = store::commit_request(&change, &VersionedHead::default());
    let conditions: Vec<_> = request
        .conditions
        .into_iter()
        .map(|c| Condition {
            table: c.table,
            row: c.row,
            version: c.version,
        })
        .collect();
    let writes: Vec<_> = request
        .writes
        .into_iter()
        .map(|w| Write {
            table: w.table,
            row: w.row,
            value: Some(w.value),
        })
        .collect();
    let platform = PlatformClient::new(platform);
    let reply = platform.commit_transaction(&conditions, &writes).await;
    assert!(
        matches!(reply, TransactionReply::Applied { .. }),
        "{reply:?}"
    );
}
