//! One attempt of a request at a plain service.

use std::net::SocketAddr;
use std::sync::Arc;

use toucancleat_core::Dispatch;
use toucancleat_core::claims::Answer;
use toucancleat_core::requests::{Arrival, InterruptionCause, Outcome};

use super::answer;
use super::response::ResponseSender;
use crate::host::Host;
use crate::service::{self, ServiceReply, ServiceRequest};

/// The inputs of an attempt.
#[derive(Debug)]
pub(super) struct Context<'a> {
    pub(super) host: &'a Host,
    pub(super) arrival: &'a Arrival,
    pub(super) request: &'a ServiceRequest,
    pub(super) address: SocketAddr,
    pub(super) dispatch: &'a Dispatch,
}

/// Sends the request to the service and its answer to the caller.
///
/// A request that may run at most once continues after its caller has disconnected, since
/// the caller can fetch the answer later under its idempotency key.
pub(super) async fn attempt(
    context: Context<'_>,
    sender: &mut ResponseSender,
) -> Outcome {
    let is_claimed = context.arrival.needs_claim();
    let started_ms = context.host.clock.now_ms();
    let reply = tokio::select! {
        reply = call(&context) => reply,
        () = sender.disconnected(), if !is_claimed => return Outcome::CallerDisconnected,
    };
    match reply {
        ServiceReply::NotRun { retry_after_ms } => Outcome::NotBegun { retry_after_ms },
        ServiceReply::Unknown(cause) => Outcome::Interrupted {
            cause,
            delivered_tokens: 0,
        },
        ServiceReply::Answered { status, .. }
            if status.is_server_error() && context.arrival.values.idempotent =>
        {
            Outcome::Interrupted {
                cause: InterruptionCause::Disconnected,
                delivered_tokens: 0,
            }
        }
        ServiceReply::Answered {
            status,
            content_type,
            body,
        } => {
            let stored = is_claimed.then(|| {
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
            let response = answer::response(
                status,
                content_type,
                answer::verdict_of_status(status),
                body,
            );
            // N.B. the request ran even if its caller has disconnected.
            let _ = sender.respond(response);
            Outcome::Finished {
                tokens: 0,
                first_token_ms: context.host.clock.now_ms() - started_ms,
                answer: stored,
            }
        }
    }
}

async fn call(context: &Context<'_>) -> ServiceReply {
    let client = if context.arrival.values.idempotent {
        &context.host.pooled
    } else {
        &context.host.unpooled
    };
    let values = &context.arrival.values;
    let remaining_ms = context
        .dispatch
        .deadline_ms
        .saturating_sub(context.host.clock.now_ms());
    service::call(
        client,
        context.address,
        context.arrival.request,
        context.request,
        remaining_ms.min(values.first_token_timeout_ms),
        values.max_answer_bytes as usize,
    )
    .await
}
