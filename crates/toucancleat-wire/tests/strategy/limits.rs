//! Proptest strategies for messages about the limits of organisations.

use proptest::prelude::*;
use toucancleat_core::limits::{
    HeldShare, LoanGrant, LoanRequest, Message, Share, ShareGrant, ShareRequest,
    WitnessedShare,
};

use super::name;

pub fn message() -> impl Strategy<Value = Message> {
    let holdings = (
        any::<u64>(),
        any::<u64>(),
        prop::collection::vec(held(), 0..4),
    );
    prop_oneof![
        share_request().prop_map(Message::ShareRequest),
        grant().prop_map(Message::ShareGrant),
        any::<u64>().prop_map(|view| Message::Query { view }),
        holdings.prop_map(|(view, started_ms, held)| Message::Holdings {
            view,
            started_ms,
            held
        }),
        loan_request().prop_map(Message::LoanRequest),
        loan_grant().prop_map(Message::LoanGrant),
        (any::<u64>(), share_request(), share()).prop_map(|(view, request, share)| {
            Message::Witness(WitnessedShare {
                view,
                request,
                share,
            })
        }),
        (any::<u64>(), name(), any::<u64>()).prop_map(
            |(view, organisation, sequence)| {
                Message::WitnessAck {
                    view,
                    organisation,
                    sequence,
                }
            }
        ),
    ]
}

fn share() -> impl Strategy<Value = Share> {
    (any::<u64>(), any::<u32>()).prop_map(|(millirequests_per_s, concurrent)| Share {
        millirequests_per_s,
        concurrent,
    })
}

fn held() -> impl Strategy<Value = HeldShare> {
    (name(), share(), any::<u64>(), any::<u32>()).prop_map(
        |(organisation, share, remaining_ms, in_use)| HeldShare {
            organisation,
            share,
            remaining_ms,
            in_use,
        },
    )
}

fn share_request() -> impl Strategy<Value = ShareRequest> {
    (any::<[u64; 3]>(), held(), share(), any::<u32>()).prop_map(
        |([started_ms, sequence, granted_sequence], held, wanted, waiting)| {
            ShareRequest {
                organisation: held.organisation.clone(),
                started_ms,
                sequence,
                granted_sequence,
                held,
                wanted,
                waiting,
            }
        },
    )
}

fn grant() -> impl Strategy<Value = ShareGrant> {
    (name(), any::<[u64; 3]>(), share()).prop_map(
        |(organisation, [sequence, term_ms, tokens_millirequests], share)| ShareGrant {
            organisation,
            sequence,
            share,
            term_ms,
            tokens_millirequests,
            is_unsettled: sequence % 2 == 0,
        },
    )
}

fn loan_request() -> impl Strategy<Value = LoanRequest> {
    (
        name(),
        name(),
        name(),
        any::<[u64; 2]>(),
        share(),
        any::<u8>(),
    )
        .prop_map(
            |(organisation, borrower, lender, [loan, sequence], wanted, hops)| {
                LoanRequest {
                    organisation,
                    borrower,
                    lender,
                    loan,
                    sequence,
                    wanted,
                    hops,
                }
            },
        )
}

fn loan_grant() -> impl Strategy<Value = LoanGrant> {
    (name(), name(), any::<[u64; 3]>(), share(), any::<u8>()).prop_map(
        |(organisation, lender, [loan, sequence, term_ms], share, hops)| LoanGrant {
            organisation,
            lender,
            loan,
            sequence,
            share,
            term_ms,
            hops,
        },
    )
}
