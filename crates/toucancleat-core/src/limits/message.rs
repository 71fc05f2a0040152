//! Messages about limits between entry hosts.

use super::Share;
use crate::prelude::*;

/// A one-way message; any of them may be lost, late, duplicated or out of order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Message {
    /// Asks an organisation's home for a share, and says what the sender holds.
    Ask(Ask),
    /// Lends a share to a host until its term ends.
    Grant(Grant),
    /// Asks what a host holds of the organisations whose home the sender is.
    Query {
        /// Digest of the sender's live hosts.
        view: u64,
    },
    /// Says all that a host holds of the organisations whose home the receiver is.
    Holdings {
        /// Digest of the sender's live hosts, equal to the query's.
        view: u64,
        /// Start of the sender's process.
        started_ms: u64,
        /// What the sender holds.
        held: Vec<Held>,
    },
    /// Asks the host that would follow a home to note what the home holds itself.
    Witness(Witness),
    /// Says that it has been noted.
    Witnessed {
        /// Digest of the sender's live hosts, equal to the witness's.
        view: u64,
        /// The organisation.
        organisation: OrganisationName,
        /// The home's question to itself.
        sequence: u64,
    },
    /// Asks another zone's home to lend a share, or to go on lending it.
    LoanAsk(LoanAsk),
    /// Lends a share to another zone until its term ends.
    LoanGrant(LoanGrant),
}

/// A host's question for a share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The organisation.
    pub organisation: OrganisationName,
    /// Start of the sender's process; a later one ends whatever an earlier one held.
    pub started_ms: u64,
    /// Rises with each question of a process.
    pub sequence: u64,
    /// Sequence of the question whose grant the sender holds; it uses no earlier one.
    pub holds_sequence: u64,
    /// What the sender holds.
    pub held: Held,
    /// What the sender could use.
    pub wanted: Share,
    /// Requests that wait at the sender for their first permission.
    pub waiting: u32,
}

/// What a host holds of an organisation's limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The share.
    pub share: Share,
    /// Time until the share ends.
    pub remaining_ms: u64,
    /// Requests in progress.
    pub in_use: u32,
}

/// What a home is about to hold of its own organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Witness {
    /// Digest of the sender's live hosts.
    pub view: u64,
    /// The home's question to itself.
    pub ask: Ask,
    /// The share that answers it; nothing when the home gives its share back.
    pub share: Share,
}

/// A share for a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The question that it answers.
    pub sequence: u64,
    /// The share.
    pub share: Share,
    /// Time from the sending of the question until the share ends.
    pub term_ms: u64,
    /// Thousandths of requests that may be admitted at once, beside the rate.
    pub tokens_millirequests: u64,
    /// Whether the home may not yet lend what nobody is known to hold, so that it can't say
    /// whether the limit is reached.
    pub is_early: bool,
}

/// A zone's question for a loan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanAsk {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The zone that asks.
    pub borrower: ZoneName,
    /// The zone that is asked.
    pub lender: ZoneName,
    /// The loan, the same when it is renewed.
    pub loan: u64,
    /// The question, to know its answer by.
    pub sequence: u64,
    /// What the zone could use.
    pub wanted: Share,
    /// Times that the question was passed on.
    pub hops: u8,
}

/// A loan to a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanGrant {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The zone that lends.
    pub lender: ZoneName,
    /// The loan.
    pub loan: u64,
    /// The question that it answers.
    pub sequence: u64,
    /// The share.
    pub share: Share,
    /// Time from the sending of the question until the loan ends.
    pub term_ms: u64,
    /// Times that the answer was passed on.
    pub hops: u8,
}
