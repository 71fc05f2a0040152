//! One attempt at a plain service.

use std::net::SocketAddr;
use std::sync::Arc;

use toucancleat_core::Dispatch;
use toucancleat_core::claims::Answer;
use toucancleat_core::requests::{Arrival, LossCause, Outcome};

use super::answer;
use super::caller::Caller;
use crate::host::Host;
use crate::service::{self, ServiceReply, ServiceRequest};

/// What an attempt needs to know.
#[derive(Debug)]
pub(super) struct Context<'a> {
    pub(super) host: &'a Host,
    pub(super) arrival: &'a Arrival,
    pub(super) request: &'a ServiceRequest,
    pub(super) address: SocketAddr,
    pub(super) dispatch: &'a Dispatch,
}

/// Gives the request to the service and its answer to the caller.
///
/// A request that may run once only goes on when its caller has left, since the caller
/// will ask for the answer again by its key.
pub(super) async fn attempt(context: Context<'_>, caller: &mut Caller) -> Outcome {
    let claimed = context.arrival.needs_claim();
    let began_ms = context.host.clock.now_ms();
    let reply = tokio::select! {
        reply = call(&context) => reply,
        () = caller.gone(), if !claimed => return Outcome::CallerGone,
    };
    match reply {
        ServiceReply::NotRun { retry_after_ms } => Outcome::NotBegun { retry_after_ms },
        ServiceReply::Unknown(cause) => Outcome::Lost {
            cause,
            delivered_tokens: 0,
        },
        ServiceReply::Answered { status, .. }
            if status.is_server_error() && context.arrival.values.idempotent =>
        {
            Outcome::Lost {
                cause: LossCause::Disconnected,
                delivered_tokens: 0,
            }
        }
        ServiceReply::Answered {
            status,
            content_type,
            body,
        } => {
            let stored = claimed.then(|| {
                Arc::new(Answer {
                    status: status.as_u16(),
                    content_type: content_type
                        .as_ref()
                        .and_then(|value| value.to_str().ok())
                        .unwrap_or_default()
                        .to_owned(),
                    body: body.to_vec(),
                })
            });
            let response =
                answer::response(status, content_type, answer::verdict_of(status), body);
            // N.B. the request ran whether or not its caller still listens.
            let _ = caller.respond(response);
            Outcome::Finished {
                tokens: 0,
                first_token_ms: context.host.clock.now_ms() - began_ms,
                answer: stored,
            }
        }
    }
}

async fn call(context: &Context<'_>) -> ServiceReply {
    let client = if context.arrival.values.idempotent {
        &context.host.pooled
    } else {
        &context.host.fresh
    };
    let values = &context.arrival.values;
    let left_ms = context
        .dispatch
        .deadline_ms
        .saturating_sub(context.host.clock.now_ms());
    service::call(
        client,
        context.address,
        context.arrival.request,
        context.request,
        left_ms.min(values.first_token_timeout_ms),
        values.max_answer_bytes as usize,
    )
    .await
}
