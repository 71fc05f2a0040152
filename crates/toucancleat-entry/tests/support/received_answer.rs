//! The answer that a caller received, and its comparison with the engines' records.

use std::net::SocketAddr;

use serde_json::Value;
use toucancleat_standin::{Engine, GenerationRecord, fingerprint};

use super::client::{Reply, Request, Stream};
use super::proxied::ProxiedDeployment;

/// What a caller received of one streamed answer.
#[derive(Clone, Debug, Default)]
pub struct ReceivedAnswer {
    /// The HTTP status, or `None` if the host did not reply.
    pub status: Option<u16>,
    /// The texts of the tokens in the order of their arrival.
    pub texts: Vec<String>,
    /// Whether the stream was closed with its answer complete.
    pub is_whole: bool,
    /// The verdict of a refusal, or of the event that ended the stream.
    pub verdict: Option<String>,
}

impl ReceivedAnswer {
    /// Sends a request for a generation and reads its answer to the end.
    pub async fn read(request: &Request, address: SocketAddr) -> ReceivedAnswer {
        match request.try_stream(address).await {
            Ok(Ok(mut stream)) => {
                ReceivedAnswer::read_rest(&mut stream, ReceivedAnswer::begun()).await
            }
            Ok(Err(reply)) => ReceivedAnswer::from_refusal(&reply),
            Err(_) => ReceivedAnswer::default(),
        }
    }

    /// Returns the state of an answer whose stream has just begun.
    pub fn begun() -> ReceivedAnswer {
        ReceivedAnswer {
            status: Some(200),
            ..ReceivedAnswer::default()
        }
    }

    /// Returns what a caller received with a refusal.
    pub fn from_refusal(reply: &Reply) -> ReceivedAnswer {
        ReceivedAnswer {
            status: Some(reply.status.as_u16()),
            verdict: reply.member("verdict").as_str().map(str::to_owned),
            ..ReceivedAnswer::default()
        }
    }

    /// Reads the rest of a stream.
    pub async fn read_rest(
        stream: &mut Stream,
        mut received: ReceivedAnswer,
    ) -> ReceivedAnswer {
        while let Some(event) = stream.next().await {
            match event.data() {
                Some("[DONE]") => {
                    received.is_whole = true;
                    return received;
                }
                Some(data) if event.event() == "error" => {
                    let problem: Value = serde_json::from_str(data).unwrap_or_default();
                    received.verdict = problem["verdict"].as_str().map(str::to_owned);
                    return received;
                }
                _ => received.texts.push(super::client::token(&event).1),
            }
        }
        received
    }

    /// Compares what the caller received with what the engines recorded.
    ///
    /// # Panics
    ///
    /// Panics if a guarantee is violated, naming `case`.
    pub fn check_records(
        &self,
        case: &str,
        prompt: &str,
        deployment: &ProxiedDeployment,
    ) {
        let generations = generations_of(prompt, deployment);
        let report = format!("{case}: {self:?}, recorded {generations:?}");
        self.check_tokens(&report, &generations);
        if self.verdict.as_deref() == Some("NotRun") {
            assert!(
                generations.is_empty(),
                "refused as not run, but it ran: {report}"
            );
            assert!(
                self.texts.is_empty(),
                "refused as not run, but answered: {report}"
            );
        }
    }

    /// Checks that the request ended with a whole answer or a verdict, as a live host
    /// must end it.
    ///
    /// # Panics
    ///
    /// Panics if the answer is not whole and there is no verdict.
    pub fn check_is_answered(&self, case: &str) {
        let is_answered = self.is_whole || self.verdict.is_some();
        assert!(is_answered, "{case}: ended without a verdict: {self:?}");
    }

    /// Checks that each token was received once, in order, and from one generation that
    /// ran for the request's own prompt.
    fn check_tokens(&self, report: &str, generations: &[GenerationRecord]) {
        let Some(first) = self.texts.first() else {
            assert!(!self.is_whole, "whole without a token: {report}");
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
        if self.is_whole {
            let length = generation.output_tokens as usize;
            assert_eq!(self.texts.len(), length, "not the whole answer: {report}");
        }
    }
}

/// Returns the generations that ran for a prompt, at live and dead engines.
pub fn generations_of(
    prompt: &str,
    deployment: &ProxiedDeployment,
) -> Vec<GenerationRecord> {
    let prompt = fingerprint(prompt.as_bytes());
    let live = deployment.engines.iter().map(|engine| &engine.standin);
    let all = live.chain(&deployment.dead_engines);
    let generations = |engine: &Engine| engine.records().generations;
    all.flat_map(generations)
        .filter(|generation| generation.prompt_fingerprint == prompt)
        .collect()
}
