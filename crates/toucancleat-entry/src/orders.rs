//! Executes the effects of the orders at the platform's table and at engines.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, StatusCode};
use serde::Serialize;
use toucancleat_core::Event;
use toucancleat_core::orders::{
    self, LeaseRow, Order, OrderOutcome, TargetState, WriteOutcome,
};
use toucancleat_core::prelude::*;

use crate::driver::Input;
use crate::host::Host;
use crate::http::HttpCall;
use crate::platform::{Condition, Row, TransactionReply, Write};

/// Timeout for reading the state of an engine.
const READ_TIMEOUT_MS: u64 = 3_000;
/// Bound on the size of an engine's reply.
const REPLY_MAX_BYTES: usize = 1_024 * 1_024;

/// An order to send to an engine.
#[derive(Debug)]
pub(crate) struct OutgoingOrder {
    pub(crate) target: TargetName,
    pub(crate) address: String,
    pub(crate) order_id: u64,
    pub(crate) order: Order,
    pub(crate) fencing_number: FencingNumber,
    pub(crate) valid_until_ms: u64,
    pub(crate) deadline_ms: u64,
}

/// Reads the zone's lease and reports it to the reducer.
pub(crate) async fn read_lease(host: Arc<Host>, row: String) {
    let rows = host.platform.get_rows(orders::TABLE, &[row]).await;
    let row = rows.ok().map(|rows| rows.into_iter().find_map(parse_lease));
    notify_orders(&host, orders::Event::LeaseRead { row });
}

/// Writes the zone's lease and reports the outcome to the reducer.
pub(crate) async fn write_lease(
    host: Arc<Host>,
    write: u64,
    row: String,
    version: Option<u64>,
    value: LeaseRow,
) {
    let table = orders::TABLE.to_owned();
    let condition = Condition {
        table: table.clone(),
        row: row.clone(),
        version,
    };
    let value = serde_json::to_value(value).expect("a lease is JSON");
    let write_request = Write {
        table,
        row,
        value: Some(value),
    };
    let outcome = match host
        .platform
        .commit_transaction(&[condition], &[write_request])
        .await
    {
        TransactionReply::Applied { versions } => match versions.first() {
            Some(version) => WriteOutcome::Applied { version: *version },
            None => WriteOutcome::Unknown,
        },
        TransactionReply::Conflict { rows } => WriteOutcome::Conflict {
            current: rows.into_iter().find_map(parse_lease),
        },
        TransactionReply::Rejected { .. } | TransactionReply::Unreachable => {
            WriteOutcome::Rejected
        }
        TransactionReply::Unknown => WriteOutcome::Unknown,
    };
    notify_orders(&host, orders::Event::LeaseWritten { write, outcome });
}

/// Reads which models and adapters an engine has loaded and reports it to the reducer.
pub(crate) async fn read_target(
    host: Arc<Host>,
    target: TargetName,
    read: u64,
    address: String,
) {
    let state = match address.parse() {
        Ok(address) => read_state(&host, address).await,
        Err(_) => None,
    };
    notify_orders(
        &host,
        orders::Event::TargetRead {
            target,
            read,
            state,
        },
    );
}

/// Sends an order and reports the outcome to the reducer.
pub(crate) async fn send(host: Arc<Host>, outgoing: OutgoingOrder) {
    let outcome = match outgoing.address.parse() {
        Ok(address) => send_order(&host, address, &outgoing).await,
        Err(_) => OrderOutcome::Refused,
    };
    let event = orders::Event::OrderReply {
        target: outgoing.target,
        order_id: outgoing.order_id,
        outcome,
    };
    notify_orders(&host, event);
}

async fn read_state(host: &Host, address: SocketAddr) -> Option<TargetState> {
    let call = HttpCall {
        address,
        method: Method::GET,
        path: "/v1/orders/state",
        headers: Vec::new(),
        body: Bytes::new(),
    };
    let reply = host
        .pooled
        .exchange(call, READ_TIMEOUT_MS, REPLY_MAX_BYTES)
        .await
        .ok()?;
    serde_json::from_slice(reply.body()).ok()
}

async fn send_order(
    host: &Host,
    address: SocketAddr,
    outgoing: &OutgoingOrder,
) -> OrderOutcome {
    #[derive(Serialize)]
    struct Body<'a> {
        #[serde(flatten)]
        order: &'a Order,
        fencing_number: FencingNumber,
        order_id: String,
    }
    let body = Body {
        order: &outgoing.order,
        fencing_number: outgoing.fencing_number,
        order_id: format!("{}-{}", outgoing.fencing_number, outgoing.order_id),
    };
    let body = serde_json::to_vec(&body).expect("an order is JSON");
    let call = HttpCall {
        address,
        method: Method::POST,
        path: "/v1/orders",
        headers: vec![(CONTENT_TYPE, HeaderValue::from_static("application/json"))],
        body: Bytes::from(body),
    };
    let now_ms = host.clock.now_ms();
    // N.B. the process may have been paused since the order was decided, and another host
    // may hold the lease by now, so an expired order must not be sent.
    if now_ms >= outgoing.valid_until_ms {
        return OrderOutcome::Refused;
    }
    let timeout_ms = outgoing.deadline_ms.saturating_sub(now_ms);
    match host
        .unpooled
        .exchange(call, timeout_ms, REPLY_MAX_BYTES)
        .await
    {
        Ok(reply) if reply.status().is_success() => OrderOutcome::Done,
        Ok(reply) if reply.status() == StatusCode::CONFLICT => OrderOutcome::Fenced,
        Ok(reply) if reply.status().is_client_error() => OrderOutcome::Refused,
        Err(error) if error.is_not_sent() => OrderOutcome::Refused,
        _ => OrderOutcome::Unknown,
    }
}

fn parse_lease(row: Row) -> Option<(u64, LeaseRow)> {
    Some((row.version?, serde_json::from_value(row.value).ok()?))
}

fn notify_orders(host: &Host, event: orders::Event) {
    host.notify_driver(Input::Event(Event::Orders(event)));
}
