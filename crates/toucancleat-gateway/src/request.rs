//! One request, from its head to its answer.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::{HeaderMap, Request, Response, StatusCode, Uri, header};
use tokio::sync::mpsc::Receiver;
use toucancleat_fleet::crashers::Fingerprint;
use toucancleat_fleet::prelude::*;
use toucancleat_platform::{answer, caller};

use crate::attempt::{Answer, Attempt, Outbound, Resumption, attempt};
use crate::bodies::Refused;
use crate::clock;
use crate::host::{Command, Host, Open};
use crate::idle::UnderWay;
use crate::relay::Relay;

/// Time after which a caller may come back whose body found no room: about what most
/// requests take.
const BODY_RETRY_S: u16 = 1;

/// The answer to a caller broke off; `hyper` then closes the connection without the end
/// that would make it look whole.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the answer broke off")]
pub struct BrokenOff;

/// The body of an answer to a caller.
#[derive(Debug)]
pub struct AnswerBody {
    content: Content,
    _under_way: UnderWay,
}

#[derive(Debug)]
enum Content {
    Whole(Option<Bytes>),
    Stream(Receiver<Result<Bytes, BrokenOff>>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut self.content {
            Content::Whole(bytes) => {
                Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b))))
            }
            Content::Stream(events) => events
                .poll_recv(context)
                .map(|event| event.map(|bytes| bytes.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.content, Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Content::Stream(_) => SizeHint::default(),
        }
    }
}

/// Serves one request.
pub async fn serve(
    host: Rc<Host>,
    under_way: UnderWay,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, BrokenOff> {
    let (parts, body) = request.into_parts();
    let arrived_ms = clock::now_ms();
    let body = match host.bodies.read(body, &host.caller_limits()).await {
        Ok(body) => body,
        Err(refused) => return Ok(refuse_body(refused, under_way)),
    };
    let mut arrival = caller::decode(&parts);
    arrival.fingerprint = fingerprint(&parts.uri, &arrival, &body.bytes);
    let spent_ms = clock::now_ms().saturating_sub(arrived_ms);
    arrival.deadline_ms = arrival
        .deadline_ms
        .map(|left| left.saturating_sub(spent_ms));
    let Some(open) = host.open() else {
        return Err(BrokenOff);
    };
    let outbound = Rc::new(Outbound {
        name: arrival.name.clone(),
        parts,
        body,
    });
    host.apply(Event::Arrived {
        ticket: open.ticket,
        arrival,
    });
    let mut response = run(&host, open, outbound, arrived_ms, under_way).await?;
    if host.stopping().borrow().is_some() {
        close(&mut response);
    }
    Ok(response)
}

async fn run(
    host: &Rc<Host>,
    mut open: Open,
    outbound: Rc<Outbound>,
    arrived_ms: u64,
    under_way: UnderWay,
) -> Result<Response<AnswerBody>, BrokenOff> {
    let mut at_hand: Option<Answer> = None;
    while let Some(command) = open.commands.recv().await {
        match command {
            Command::Dispatch(dispatch) => {
                match attempt(host, &outbound, &dispatch, &Resumption::default()).await {
                    Attempt::Stream(start) => {
                        let headers = answer::pass_on(&start.headers);
                        let status = start.status;
                        let (relay, events) =
                            Relay::new(host.clone(), open, outbound, *dispatch, start);
                        tokio::task::spawn_local(relay.run(arrived_ms));
                        let content = Content::Stream(events);
                        return Ok(respond(status, headers, content, under_way));
                    }
                    Attempt::Plain { outcome, answer } => {
                        at_hand = answer.or(at_hand);
                        let ticket = open.ticket;
                        host.apply(Event::AttemptEnded { ticket, outcome });
                    }
                }
            }
            Command::PassOn => {
                let Some(answer) = at_hand else {
                    return Err(BrokenOff);
                };
                let took_ms = clock::now_ms().saturating_sub(arrived_ms);
                log_end(&outbound, answer.status, "answered", took_ms);
                host.metrics.count_request("answered");
                host.metrics.answer_s.observe(took_ms as f64 / 1_000.0);
                let headers = answer::pass_on(&answer.headers);
                let content = Content::Whole(Some(answer.body));
                return Ok(respond(answer.status, headers, content, under_way));
            }
            Command::Refuse(refusal) => {
                return Ok(refuse(host, &outbound, &refusal, arrived_ms, under_way));
            }
            Command::Evacuate { .. } | Command::NoDestination => {
                let ticket = open.ticket;
                host.apply(Event::Stayed { ticket });
            }
        }
    }
    Err(BrokenOff)
}

fn refuse_body(refused: Refused, under_way: UnderWay) -> Response<AnswerBody> {
    let status = refused.status();
    log::info!(reason:? = refused, status = status.as_u16(); "a request's body was refused");
    let mut headers = HeaderMap::new();
    if refused == Refused::NoRoom {
        headers.insert(header::RETRY_AFTER, header::HeaderValue::from(BODY_RETRY_S));
    }
    let whole = Content::Whole(Some(Bytes::new()));
    let mut response = respond(status, headers, whole, under_way);
    close(&mut response);
    response
}

fn refuse(
    host: &Host,
    outbound: &Outbound,
    refusal: &Refusal,
    arrived_ms: u64,
    under_way: UnderWay,
) -> Response<AnswerBody> {
    let status = answer::refusal_status(refusal);
    let took_ms = clock::now_ms().saturating_sub(arrived_ms);
    log::info!(
        request:% = outbound.name,
        reason = refusal.reason.as_str(),
        verdict = refusal.verdict.as_str(),
        status = status.as_u16(),
        retry_after_ms = refusal.retry_after_ms.unwrap_or_default(),
        took_ms;
        "a request was refused or failed"
    );
    host.metrics.count_request(refusal.reason.as_str());
    let body = serde_json::json!({
        "title": refusal.reason.as_str(),
        "status": status.as_u16(),
        "verdict": refusal.verdict.as_str(),
    });
    let mut headers = answer::refusal_headers(&outbound.name, refusal);
    let kind = header::HeaderValue::from_static("application/problem+json");
    headers.insert(header::CONTENT_TYPE, kind);
    let content = Content::Whole(Some(Bytes::from(body.to_string())));
    respond(status, headers, content, under_way)
}

fn log_end(outbound: &Outbound, status: StatusCode, outcome: &str, took_ms: u64) {
    let status = status.as_u16();
    log::info!(request:% = outbound.name, status, outcome, took_ms; "a request ended");
}

fn respond(
    status: StatusCode,
    headers: HeaderMap,
    content: Content,
    under_way: UnderWay,
) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody {
        content,
        _under_way: under_way,
    });
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn close(response: &mut Response<AnswerBody>) {
    let close = header::HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}

/// Returns what a request is recognised by when it comes again.
///
/// The hash has no secret: all hosts have to find the same number.
fn fingerprint(uri: &Uri, arrival: &Arrival, body: &[u8]) -> Fingerprint {
    let mut hasher = DefaultHasher::new();
    (&arrival.hostname, uri, &arrival.key, body).hash(&mut hasher);
    hasher.finish()
}
