//! Errors of decoding, queueing and listening.

use std::io;

/// The error of decoding a batch of messages from a peer.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct DecodeError(#[from] DecodeErrorKind);

#[derive(Debug, thiserror::Error)]
enum DecodeErrorKind {
    #[error("expected a Cap'n Proto message: {0}")]
    Capnp(#[from] capnp::Error),
    #[error("expected a known number for {field}: {source}")]
    NotInSchema {
        field: &'static str,
        source: capnp::NotInSchema,
    },
    #[error("expected {expected} in {field}")]
    InvalidValue {
        field: &'static str,
        expected: &'static str,
    },
    #[error("expected at most {limit} entries in {field}, found {found}")]
    TooManyEntries {
        field: &'static str,
        limit: u32,
        found: u32,
    },
}

impl DecodeError {
    pub(crate) fn not_in_schema(field: &'static str, source: capnp::NotInSchema) -> Self {
        DecodeErrorKind::NotInSchema { field, source }.into()
    }

    pub(crate) fn invalid_value(field: &'static str, expected: &'static str) -> Self {
        DecodeErrorKind::InvalidValue { field, expected }.into()
    }

    pub(crate) fn too_many_entries(field: &'static str, limit: u32, found: u32) -> Self {
        DecodeErrorKind::TooManyEntries {
            field,
            limit,
            found,
        }
        .into()
    }
}

impl From<capnp::Error> for DecodeError {
    fn from(error: capnp::Error) -> Self {
        DecodeErrorKind::Capnp(error).into()
    }
}

/// The error of sending a message while the queue of outgoing messages is full.
///
/// The message is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the queue of outgoing messages to peers is full; the message was dropped")]
pub struct QueueFull;

/// The error of opening the port on which peers connect.
#[derive(Debug, thiserror::Error)]
#[error("failed to listen for peers on {address}: {source}")]
pub struct StartError {
    pub(crate) address: std::net::SocketAddr,
    pub(crate) source: io::Error,
}
