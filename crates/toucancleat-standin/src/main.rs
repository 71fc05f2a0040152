//! Command-line program that runs one stand-in as a process.

use std::io::{self, Write};
use std::net::SocketAddr;

use bpaf::{Bpaf, Parser};
use serde_json::{Map, Value, json};
use tokio::signal::unix::{SignalKind, signal};
use toucancleat_standin::model::ModelConfig;
use toucancleat_standin::{
    Engine, EngineConfig, FaultProxy, FaultProxyConfig, Platform, PlatformConfig,
    Service, ServiceConfig,
};

/// Stand-ins for the platform, engines and services, for tests.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Command {
    /// Runs the platform: table service, object store and host list in memory.
    #[bpaf(command)]
    Platform {
        /// Address to bind; port 0 selects a free port.
        #[bpaf(external(bind_address))]
        bind: SocketAddr,
        /// Time until readers see a change of the host list.
        #[bpaf(argument("MS"), fallback(0))]
        host_list_lag_ms: u64,
    },
    /// Runs a model engine.
    #[bpaf(command)]
    Engine {
        /// Address to bind; port 0 selects a free port.
        #[bpaf(external(bind_address))]
        bind: SocketAddr,
        /// Model that is loaded at startup; may be given several times.
        #[bpaf(argument("NAME"))]
        model: Vec<String>,
        /// Also executes orders with a stale fencing number.
        ignores_fencing: bool,
        /// Ratio of engine time to wall-clock time.
        #[bpaf(argument("FACTOR"), fallback(1.0))]
        time_scale: f64,
        /// Number of KV cache blocks.
        #[bpaf(argument("BLOCKS"), fallback(ModelConfig::default().blocks_total))]
        blocks_total: u32,
    },
    /// Runs a plain service.
    #[bpaf(command)]
    Service {
        /// Address to bind; port 0 selects a free port.
        #[bpaf(external(bind_address))]
        bind: SocketAddr,
        /// Name that is included in replies.
        #[bpaf(argument("NAME"), fallback("service".to_owned()))]
        name: String,
        /// Duration of a run.
        #[bpaf(argument("MS"), fallback(0))]
        run_ms: u64,
    },
    /// Runs a TCP proxy that injects link faults on demand.
    #[bpaf(command)]
    Proxy {
        /// Address to bind; port 0 selects a free port.
        #[bpaf(external(bind_address))]
        bind: SocketAddr,
        /// Address to forward to.
        #[bpaf(argument("ADDRESS"))]
        upstream: SocketAddr,
    },
}

fn bind_address() -> impl Parser<SocketAddr> {
    bpaf::long("bind")
        .help("Address to bind; port 0 selects a free port.")
        .argument("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)))
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> io::Result<()> {
    let command = command().run();
    init_logging();
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        result = run(command) => result,
        _ = terminate.recv() => {
            log::info!("received SIGTERM; exiting");
            Ok(())
        }
    }
}

async fn run(command: Command) -> io::Result<()> {
    match command {
        Command::Platform {
            bind,
            host_list_lag_ms,
        } => {
            let config = PlatformConfig {
                bind,
                host_list_lag_ms,
                ..PlatformConfig::default()
            };
            let platform = Platform::start(config).await?;
            print_address("platform", platform.address())?;
            platform.wait_until_stopped().await;
        }
        Command::Engine {
            bind,
            model,
            ignores_fencing,
            time_scale,
            blocks_total,
        } => {
            let mut config = EngineConfig {
                bind,
                checks_fencing: !ignores_fencing,
                time_scale,
                model: ModelConfig {
                    blocks_total,
                    ..ModelConfig::default()
                },
                ..EngineConfig::default()
            };
            if !model.is_empty() {
                config.models = model;
            }
            let engine = Engine::start(config).await?;
            print_address("engine", engine.address())?;
            engine.wait_until_stopped().await;
        }
        Command::Service { bind, name, run_ms } => {
            let config = ServiceConfig {
                bind,
                name,
                run_ms,
                ..ServiceConfig::default()
            };
            let service = Service::start(config).await?;
            print_address("service", service.address())?;
            service.wait_until_stopped().await;
        }
        Command::Proxy { bind, upstream } => {
            let config = FaultProxyConfig {
                bind,
                ..FaultProxyConfig::new(upstream)
            };
            let proxy = FaultProxy::start(config).await?;
            print_proxy_addresses(&proxy)?;
            proxy.wait_until_stopped().await;
        }
    }
    Ok(())
}

/// Prints the bound address as one JSON line, for which the parent process waits.
fn print_address(standin: &str, address: SocketAddr) -> io::Result<()> {
    log::info!(standin, address = address.to_string().as_str(); "listening");
    print_line(&json!({ "standin": standin, "address": address }))
}

/// Prints the forwarding and control addresses of a proxy as one JSON line.
fn print_proxy_addresses(proxy: &FaultProxy) -> io::Result<()> {
    let address = proxy.address().to_string();
    log::info!(standin = "proxy", address = address.as_str(); "listening");
    print_line(&json!({
        "standin": "proxy",
        "address": address,
        "control_address": proxy.control_address(),
    }))
}

fn print_line(line: &Value) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    writeln!(stdout, "{line}")?;
    stdout.flush()
}

/// Writes log records to standard error as JSON lines.
fn init_logging() {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format(|out, record| {
            let mut line = Map::new();
            line.insert("level".into(), record.level().as_str().into());
            line.insert("message".into(), record.args().to_string().into());
            let mut fields = FieldVisitor(&mut line);
            // The visitor never returns an error.
            let _ = record.key_values().visit(&mut fields);
            writeln!(out, "{}", Value::Object(line))
        })
        .init();
}

/// Copies the key-value fields of a log record into a JSON object.
struct FieldVisitor<'a>(&'a mut Map<String, Value>);

impl<'kvs> log::kv::VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), value.to_string().into());
        Ok(())
    }
}
