//! What a caller was told, and its comparison with what really happened.

use std::net::SocketAddr;

use serde_json::Value;
use toucancleat_standin::{Engine, GenerationRecord, fingerprint};

use super::client::{Ask, Reply, Stream};
use super::proxied::Proxied;

/// All that a caller saw of one streamed answer.
#[derive(Clone, Debug, Default)]
pub struct Told {
    /// The status, or `None` when the host gave no reply.
    pub status: Option<u16>,
    /// The texts of the tokens in the order in which they came.
    pub texts: Vec<String>,
    /// Whether the answer was closed as whole.
    pub whole: bool,
    /// The verdict of a refusal, or of the event that ended the stream.
    pub verdict: Option<String>,
}

impl Told {
    /// Asks for a generation and reads all there is.
    pub async fn read(ask: &Ask, address: SocketAddr) -> Told {
        match ask.try_stream(address).await {
            Ok(Ok(mut stream)) => Told::read_rest(&mut stream, Told::begun()).await,
            Ok(Err(reply)) => Told::refused(&reply),
            Err(_) => Told::default(),
        }
    }

    /// Returns what a caller knows when its stream has begun.
    pub fn begun() -> Told {
        Told {
            status: Some(200),
            ..Told::default()
        }
    }

    /// Returns what a caller knows from a refusal.
    pub fn refused(reply: &Reply) -> Told {
        Told {
            status: Some(reply.status.as_u16()),
            verdict: reply.member("verdict").as_str().map(str::to_owned),
            ..Told::default()
        }
    }

    /// Reads the rest of a stream.
    pub async fn read_rest(stream: &mut Stream, mut told: Told) -> Told {
        while let Some(event) = stream.next().await {
            match event.data() {
                Some("[DONE]") => {
                    told.whole = true;
                    return told;
                }
                Some(data) if event.event() == "error" => {
                    let problem: Value = serde_json::from_str(data).unwrap_or_default();
                    told.verdict = problem["verdict"].as_str().map(str::to_owned);
                    return told;
                }
                _ => told.texts.push(super::client::token(&event).1),
            }
        }
        told
    }

    /// Compares what the caller was told with what the engines recorded.
    ///
    /// # Panics
    ///
    /// Panics when a promise was broken; `case` says where.
    pub fn check(&self, case: &str, prompt: &str, deployment: &Proxied) {
        let generations = generations_of(prompt, deployment);
        let report = format!("{case}: {self:?}, recorded {generations:?}");
        self.check_tokens(&report, &generations);
        if self.verdict.as_deref() == Some("NotRun") {
            assert!(generations.is_empty(), "not run, but it ran: {report}");
            assert!(self.texts.is_empty(), "not run, but answered: {report}");
        }
    }

    /// A host that lives says how a request ended.
    ///
    /// # Panics
    ///
    /// Panics when the answer is not whole and there is no verdict.
    pub fn check_ended(&self, case: &str) {
        let ended = self.whole || self.verdict.is_some();
        assert!(ended, "{case}: ended without a verdict: {self:?}");
    }

    /// Each token once, in order, from one generation, which ran for this very prompt.
    fn check_tokens(&self, report: &str, generations: &[GenerationRecord]) {
        let Some(first) = self.texts.first() else {
            assert!(!self.whole, "whole without a token: {report}");
            return;
        };
        let head = first.split(':').next().unwrap_or_default();
        for (index, text) in self.texts.iter().enumerate() {
            assert_eq!(text, &format!("{head}:{index} "), "{report}");
        }
        let generation = generations
            .iter()
            .find(|generation| generation.generation_id.starts_with(head))
            .unwrap_or_else(|| panic!("another request's answer: {report}"));
        assert!(
            generation.produced_tokens as usize >= self.texts.len(),
            "{report}"
        );
        if self.whole {
            let length = generation.output_tokens as usize;
            assert_eq!(self.texts.len(), length, "not the whole answer: {report}");
        }
    }
}

/// Returns the generations that ran for a prompt, at engines alive and dead.
pub fn generations_of(prompt: &str, deployment: &Proxied) -> Vec<GenerationRecord> {
    let prompt = fingerprint(prompt.as_bytes());
    let alive = deployment.engines.iter().map(|engine| &engine.standin);
    let all = alive.chain(&deployment.dead_engines);
    let of = |engine: &Engine| engine.records().generations;
    all.flat_map(of)
        .filter(|generation| generation.prompt_fingerprint == prompt)
        .collect()
}
