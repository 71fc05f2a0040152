//! Messages of the limits between entry hosts.

use super::Share;
use crate::prelude::*;

/// A one-way message, which may be lost, delayed, duplicated or reordered.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Message {
    /// Requests a share from an organisation's home and reports what the sender holds.
    ShareRequest(ShareRequest),
    /// Grants a share to a host until its term ends.
    ShareGrant(ShareGrant),
    /// Requests a report of the shares that a host holds of organisations whose home is
    /// the sender.
    Query {
        /// Digest of the sender's live hosts.
        view: u64,
    },
    /// Replies to a query with all that the sender holds of organisations whose home, or
    /// successor to the sender as home, is the receiver.
    Holdings {
        /// Digest of the sender's live hosts, equal to the query's.
        view: u64,
        /// Start of the sender's process.
        started_ms: u64,
        /// The shares that the sender holds.
        held: Vec<HeldShare>,
    },
    /// Requests that the successor of a home record the share that the home grants to
    /// itself.
    Witness(WitnessedShare),
    /// Acknowledges a [`Message::Witness`].
    WitnessAck {
        /// Digest of the sender's live hosts, equal to the witness's.
        view: u64,
        /// The organisation.
        organisation: OrganisationName,
        /// Sequence of the home's share request to itself.
        sequence: u64,
    },
    /// Requests a loan, or its renewal, from the organisation's home in another zone.
    LoanRequest(LoanRequest),
    /// Lends a share to another zone until the term ends.
    LoanGrant(LoanGrant),
}

/// A host's request for a share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareRequest {
    /// The organisation.
    pub organisation: OrganisationName,
    /// Start of the sender's process; a later start voids whatever an earlier process
    /// held.
    pub started_ms: u64,
    /// Increases with each share request of a process.
    pub sequence: u64,
    /// Sequence of the share request whose grant the sender holds; it uses no earlier
    /// grant.
    pub granted_sequence: u64,
    /// The share that the sender holds.
    pub held: HeldShare,
    /// The share that the sender could use.
    pub wanted: Share,
    /// Number of requests that wait at the sender for permits.
    pub waiting: u32,
}

/// The share of an organisation's limits that a host holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldShare {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The share.
    pub share: Share,
    /// Time until the share expires.
    pub remaining_ms: u64,
    /// Number of requests in progress.
    pub in_use: u32,
}

/// A share that a home grants to itself, for its successor to record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WitnessedShare {
    /// Digest of the sender's live hosts.
    pub view: u64,
    /// The home's share request to itself.
    pub request: ShareRequest,
    /// The granted share; [`Share::NONE`] if the home releases its share.
    pub share: Share,
}

/// A share granted to a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareGrant {
    /// The organisation.
    pub organisation: OrganisationName,
    /// Sequence of the share request that the grant replies to.
    pub sequence: u64,
    /// The share.
    pub share: Share,
    /// Time from the sending of the share request until the share expires.
    pub term_ms: u64,
    /// Thousandths of requests that may be admitted at once, in addition to the rate.
    pub tokens_millirequests: u64,
    /// Whether the home isn't settled yet. Such a home may grant only what it knows to be
    /// held, so a refusal by it doesn't show that the limit is reached.
    pub is_unsettled: bool,
}

/// A zone's request for a loan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanRequest {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The zone that requests the loan.
    pub borrower: ZoneName,
    /// The zone that is to lend.
    pub lender: ZoneName,
    /// Id of the loan, unchanged by a renewal.
    pub loan: u64,
    /// Id of this loan request, which its grant repeats.
    pub sequence: u64,
    /// The share that the zone could use.
    pub wanted: Share,
    /// Number of times that the request was forwarded.
    pub hops: u8,
}

/// A share lent to a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanGrant {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The zone that lends the share.
    pub lender: ZoneName,
    /// Id of the loan.
    pub loan: u64,
    /// Id of the loan request that the grant replies to.
    pub sequence: u64,
    /// The share.
    pub share: Share,
    /// Time from the sending of the loan request until the loan expires.
    pub term_ms: u64,
    /// Number of times that the grant was forwarded.
    pub hops: u8,
}
