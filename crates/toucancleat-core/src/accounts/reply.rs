//! Replies of a home to requests for reservations.

use crate::accounts::account::Reservation;
use crate::accounts::event::RefusalReason;
use crate::accounts::message::{
    Message, QueueNotice, ReservationGrant, ReservationRefusal, ReservationRequest,
};
use crate::accounts::state::Outbox;
use crate::prelude::*;

/// Notifies a host that its request may start.
pub(super) fn send_grant(
    request: &ReservationRequest,
    to: &HostName,
    priority: u8,
    outbox: &mut Outbox,
) {
    let granted = ReservationGrant {
        request: request.id,
        generation: request.generation,
        target: request.target.clone(),
        priority,
    };
    outbox.send(to, Message::Granted(granted));
}

/// Notifies a host that its request waits.
pub(super) fn send_queue_notice(
    reservation: &Reservation,
    wait_ms: u64,
    outbox: &mut Outbox,
) {
    let queued = QueueNotice {
        request: reservation.request.id,
        target: reservation.request.target.clone(),
        wait_ms,
    };
    outbox.send(&reservation.host, Message::Queued(queued));
}

/// Notifies a host that the target can't take its request.
pub(super) fn send_refusal(
    request: &ReservationRequest,
    to: &HostName,
    reason: RefusalReason,
    retry_after_ms: u64,
    outbox: &mut Outbox,
) {
    let refused = ReservationRefusal {
        request: request.id,
        target: request.target.clone(),
        reason,
        retry_after_ms,
    };
    outbox.send(to, Message::Refused(refused));
}
