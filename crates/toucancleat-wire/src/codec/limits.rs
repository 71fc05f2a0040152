//! Encoding of messages about the limits of organisations.

use toucancleat_core::limits::{
    HeldShare, LoanGrant, LoanRequest, Message, Share, ShareGrant, ShareRequest,
    WitnessedShare,
};

use super::value::{read_list, read_name};
use crate::error::DecodeError;
use crate::limits_capnp as wire;

pub(crate) fn write(message: &Message, mut out: wire::message::Builder<'_>) {
    match message {
        Message::ShareRequest(request) => write_share_request(request, out.init_ask()),
        Message::ShareGrant(grant) => write_grant(grant, out.init_grant()),
        Message::Query { view } => out.set_query(*view),
        Message::Holdings {
            view,
            started_ms,
            held,
        } => {
            let mut out = out.init_holdings();
            out.set_view(*view);
            out.set_started_ms(*started_ms);
            let mut list = out.init_held(held.len() as u32);
            for (i, held) in held.iter().enumerate() {
                write_held(held, list.reborrow().get(i as u32));
            }
        }
        Message::LoanRequest(request) => write_loan_request(request, out.init_loan_ask()),
        Message::LoanGrant(grant) => write_loan_grant(grant, out.init_loan_grant()),
        Message::Witness(witness) => {
            let mut out = out.init_witness();
            out.set_view(witness.view);
            write_share_request(&witness.request, out.reborrow().init_ask());
            write_share(witness.share, out.init_share());
        }
        Message::WitnessAck {
            view,
            organisation,
            sequence,
        } => {
            let mut out = out.init_witnessed();
            out.set_view(*view);
            out.set_organisation(organisation.as_str());
            out.set_sequence(*sequence);
        }
        // N.B. `Message` is non-exhaustive, so the compiler accepts a variant without an
        // encoding. The property test in tests/codec.rs covers every variant.
        _ => {}
    }
}

pub(crate) fn read(message: wire::message::Reader<'_>) -> Result<Message, DecodeError> {
    use wire::message::Which;
    let which = message
        .which()
        .map_err(|e| DecodeError::not_in_schema("limits", e))?;
    Ok(match which {
        Which::Ask(ask) => Message::ShareRequest(read_share_request(ask?)?),
        Which::Grant(grant) => Message::ShareGrant(read_grant(grant?)?),
        Which::Query(view) => Message::Query { view },
        Which::Holdings(holdings) => {
            let holdings = holdings?;
            Message::Holdings {
                view: holdings.get_view(),
                started_ms: holdings.get_started_ms(),
                held: read_list("held", holdings.get_held()?.iter(), read_held)?,
            }
        }
        Which::LoanAsk(ask) => Message::LoanRequest(read_loan_request(ask?)?),
        Which::LoanGrant(grant) => Message::LoanGrant(read_loan_grant(grant?)?),
        Which::Witness(witness) => {
            let witness = witness?;
            Message::Witness(WitnessedShare {
                view: witness.get_view(),
                request: read_share_request(witness.get_ask()?)?,
                share: read_share(witness.get_share()?),
            })
        }
        Which::Witnessed(witnessed) => {
            let witnessed = witnessed?;
            Message::WitnessAck {
                view: witnessed.get_view(),
                organisation: read_name("organisation", witnessed.get_organisation())?,
                sequence: witnessed.get_sequence(),
            }
        }
    })
}

fn write_share_request(request: &ShareRequest, mut out: wire::ask::Builder<'_>) {
    out.set_started_ms(request.started_ms);
    out.set_sequence(request.sequence);
    out.set_holds_sequence(request.granted_sequence);
    out.set_waiting(request.waiting);
    write_held(&request.held, out.reborrow().init_held());
    write_share(request.wanted, out.init_wanted());
}

fn read_share_request(ask: wire::ask::Reader<'_>) -> Result<ShareRequest, DecodeError> {
    let held = read_held(ask.get_held()?)?;
    Ok(ShareRequest {
        organisation: held.organisation.clone(),
        started_ms: ask.get_started_ms(),
        sequence: ask.get_sequence(),
        granted_sequence: ask.get_holds_sequence(),
        held,
        wanted: read_share(ask.get_wanted()?),
        waiting: ask.get_waiting(),
    })
}

fn write_grant(grant: &ShareGrant, mut out: wire::grant::Builder<'_>) {
    out.set_organisation(grant.organisation.as_str());
    out.set_sequence(grant.sequence);
    out.set_term_ms(grant.term_ms);
    out.set_tokens_millirequests(grant.tokens_millirequests);
    out.set_is_early(grant.is_unsettled);
    write_share(grant.share, out.init_share());
}

fn read_grant(grant: wire::grant::Reader<'_>) -> Result<ShareGrant, DecodeError> {
    Ok(ShareGrant {
        organisation: read_name("organisation", grant.get_organisation())?,
        sequence: grant.get_sequence(),
        share: read_share(grant.get_share()?),
        term_ms: grant.get_term_ms(),
        tokens_millirequests: grant.get_tokens_millirequests(),
        is_unsettled: grant.get_is_early(),
    })
}

fn write_held(held: &HeldShare, mut out: wire::held::Builder<'_>) {
    out.set_organisation(held.organisation.as_str());
    out.set_remaining_ms(held.remaining_ms);
    out.set_in_use(held.in_use);
    write_share(held.share, out.init_share());
}

fn read_held(held: wire::held::Reader<'_>) -> Result<HeldShare, DecodeError> {
    Ok(HeldShare {
        organisation: read_name("organisation", held.get_organisation())?,
        share: read_share(held.get_share()?),
        remaining_ms: held.get_remaining_ms(),
        in_use: held.get_in_use(),
    })
}

fn write_loan_request(request: &LoanRequest, mut out: wire::loan_ask::Builder<'_>) {
    out.set_organisation(request.organisation.as_str());
    out.set_borrower(request.borrower.as_str());
    out.set_lender(request.lender.as_str());
    out.set_loan(request.loan);
    out.set_sequence(request.sequence);
    out.set_hops(request.hops);
    write_share(request.wanted, out.init_wanted());
}

fn read_loan_request(
    ask: wire::loan_ask::Reader<'_>,
) -> Result<LoanRequest, DecodeError> {
    Ok(LoanRequest {
        organisation: read_name("organisation", ask.get_organisation())?,
        borrower: read_name("borrower", ask.get_borrower())?,
        lender: read_name("lender", ask.get_lender())?,
        loan: ask.get_loan(),
        sequence: ask.get_sequence(),
        wanted: read_share(ask.get_wanted()?),
        hops: ask.get_hops(),
    })
}

fn write_loan_grant(grant: &LoanGrant, mut out: wire::loan_grant::Builder<'_>) {
    out.set_organisation(grant.organisation.as_str());
    out.set_lender(grant.lender.as_str());
    out.set_loan(grant.loan);
    out.set_sequence(grant.sequence);
    out.set_term_ms(grant.term_ms);
    out.set_hops(grant.hops);
    write_share(grant.share, out.init_share());
}

fn read_loan_grant(
    grant: wire::loan_grant::Reader<'_>,
) -> Result<LoanGrant, DecodeError> {
    Ok(LoanGrant {
        organisation: read_name("organisation", grant.get_organisation())?,
        lender: read_name("lender", grant.get_lender())?,
        loan: grant.get_loan(),
        sequence: grant.get_sequence(),
        share: read_share(grant.get_share()?),
        term_ms: grant.get_term_ms(),
        hops: grant.get_hops(),
    })
}

fn write_share(share: Share, mut out: wire::share::Builder<'_>) {
    out.set_millirequests_per_s(share.millirequests_per_s);
    out.set_concurrent(share.concurrent);
}

fn read_share(share: wire::share::Reader<'_>) -> Share {
    Share {
        millirequests_per_s: share.get_millirequests_per_s(),
        concurrent: share.get_concurrent(),
    }
}
