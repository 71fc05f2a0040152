//! Records of the shares that homes hold of their own organisations, kept by their
//! successors.
//!
//! A home's ledger is lost with the home. A new home rebuilds it from the reports of the
//! other hosts, which lack only the earlier home's own share. Therefore a home uses a
//! share of its own only after its *successor*, the host that would be the home without
//! it, has recorded the share.

use super::{Effect, Message, Share, ShareGrant, State, WitnessedShare};
use crate::homes::HomeKey;
use crate::prelude::*;

impl State {
    /// Sends a grant of this host to itself to the successor and applies it once the
    /// successor has recorded it, or at once if there is no successor.
    pub(super) fn witness_own_grant(
        &mut self,
        now_ms: u64,
        witness: WitnessedShare,
        grant: ShareGrant,
        effects: &mut Vec<Effect>,
    ) {
        let Some(to) = self.successor_of(&grant.organisation) else {
            self.apply_grant(now_ms, &grant, effects);
            return;
        };
        self.unwitnessed_grants
            .insert(grant.organisation.clone(), grant);
        let message = Message::Witness(witness);
        effects.push(Effect::Send { to, message });
    }

    /// Sends the successor the release of a share that this host held as the home.
    pub(super) fn send_release_witness(
        &mut self,
        witness: WitnessedShare,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(to) = self.successor_of(&witness.request.held.organisation) {
            let message = Message::Witness(witness);
            effects.push(Effect::Send { to, message });
        }
    }

    /// Records the share that a home grants to itself, if this host is its successor.
    pub(super) fn record_witness(
        &mut self,
        now_ms: u64,
        from: HostName,
        witness: WitnessedShare,
        effects: &mut Vec<Effect>,
    ) {
        let organisation = witness.request.held.organisation.clone();
        if witness.view != self.view || !self.is_successor_to(&from, &organisation) {
            return;
        }
        let WitnessedShare {
            view,
            request,
            share,
        } = witness;
        let ledger = self
            .witnessed_ledgers
            .entry(organisation.clone())
            .or_default();
        if !ledger.apply_share_request(&self.config, now_ms, &from, &request) {
            return;
        }
        if share == Share::NONE && request.wanted == Share::NONE {
            return;
        }
        let sequence = request.sequence;
        ledger.record_lease(&self.config, now_ms, &from, sequence, share);
        let message = Message::WitnessAck {
            view,
            organisation,
            sequence,
        };
        effects.push(Effect::Send { to: from, message });
    }

    /// Applies the grant that the successor has recorded.
    pub(super) fn apply_witnessed(
        &mut self,
        now_ms: u64,
        view: u64,
        organisation: &OrganisationName,
        sequence: u64,
        effects: &mut Vec<Effect>,
    ) {
        let pending = self.unwitnessed_grants.get(organisation);
        let is_witnessed = pending.is_some_and(|grant| grant.sequence == sequence);
        if view != self.view || !is_witnessed {
            return;
        }
        if let Some(grant) = self.unwitnessed_grants.swap_remove(organisation) {
            self.apply_grant(now_ms, &grant, effects);
        }
    }

    /// Turns recorded shares into accounts for the organisations whose home this host has
    /// become.
    pub(super) fn inherit_accounts(&mut self, now_ms: u64) {
        for (organisation, ledger) in std::mem::take(&mut self.witnessed_ledgers) {
            if self.is_home(&organisation) && !self.accounts.contains_key(&organisation) {
                self.open_account(now_ms, &organisation);
                self.accounts[&organisation]
                    .ledger
                    .merge_unknown_hosts(ledger);
            }
        }
    }

    /// Returns true if `home` is the organisation's home and this host is its successor.
    pub(super) fn is_successor_to(
        &mut self,
        home: &HostName,
        organisation: &OrganisationName,
    ) -> bool {
        self.home_of(organisation).as_ref() == Some(home)
            && self.successor_of(organisation).as_ref() == Some(&self.own)
    }

    pub(super) fn successor_of(
        &self,
        organisation: &OrganisationName,
    ) -> Option<HostName> {
        self.homes
            .successor(&HomeKey::Organisation(organisation.clone()))
    }
}
