//! Errors of messages and connections.

use std::io;

/// A message from a peer could not be read.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct DecodeError(#[from] DecodeErrorKind);

#[derive(Debug, thiserror::Error)]
enum DecodeErrorKind {
    #[error("expected a Cap'n Proto message: {0}")]
    Capnp(#[from] capnp::Error),
    #[error("expected a known number for {field}: {source}")]
    Number {
        field: &'static str,
        source: capnp::NotInSchema,
    },
    #[error("expected {expected} in {field}")]
    Value {
        field: &'static str,
        expected: &'static str,
    },
    #[error("expected at most {limit} entries in {field}, found {found}")]
    TooMany {
        field: &'static str,
        limit: u32,
        found: u32,
    },
}

impl DecodeError {
    pub(crate) fn number(field: &'static str, source: capnp::NotInSchema) -> Self {
        DecodeErrorKind::Number { field, source }.into()
    }

    pub(crate) fn value(field: &'static str, expected: &'static str) -> Self {
        DecodeErrorKind::Value { field, expected }.into()
    }

    pub(crate) fn too_many(field: &'static str, limit: u32, found: u32) -> Self {
        DecodeErrorKind::TooMany {
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

/// A message was not taken, since too many wait for the peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected room in the queue towards the peers; the message was dropped")]
pub struct QueueFull;

/// The peers' port could not be opened.
#[derive(Debug, thiserror::Error)]
#[error("expected to listen for peers on {address}: {source}")]
pub struct StartError {
    pub(crate) address: std::net::SocketAddr,
    pub(crate) source: io::Error,
}
