//! What a home holds of its own organisations is known to the host that follows it.
//!
//! A home's ledger ends with the home. Every other host can say what it holds, so the one
//! thing that a new home couldn't learn is what the earlier home held itself. So a home
//! uses a share of its own only after its *successor*, the host that would be the home
//! without it, has noted the share.

use super::{Effect, Grant, Message, Share, State, Witness};
use crate::homes::HomeKey;
use crate::prelude::*;

impl State {
    /// Takes a grant of this host to itself, once the successor has noted it.
    pub(super) fn take_own_grant(
        &mut self,
        now_ms: u64,
        witness: Witness,
        grant: Grant,
        effects: &mut Vec<Effect>,
    ) {
        let Some(to) = self.successor_of(&grant.organisation) else {
            self.take_grant(now_ms, &grant, effects);
            return;
        };
        self.unwitnessed.insert(grant.organisation.clone(), grant);
        let message = Message::Witness(witness);
        effects.push(Effect::Send { to, message });
    }

    /// Tells the successor that this host has given back what it held.
    pub(super) fn tell_release(&mut self, witness: Witness, effects: &mut Vec<Effect>) {
        if let Some(to) = self.successor_of(&witness.ask.held.organisation) {
            let message = Message::Witness(witness);
            effects.push(Effect::Send { to, message });
        }
    }

    /// Notes what a home holds itself, when this host is its successor.
    pub(super) fn note(
        &mut self,
        now_ms: u64,
        from: HostName,
        witness: Witness,
        effects: &mut Vec<Effect>,
    ) {
        let organisation = witness.ask.held.organisation.clone();
        if witness.view != self.view || !self.follows(&from, &organisation) {
            return;
        }
        let Witness { view, ask, share } = witness;
        let ledger = self.witnessed.entry(organisation.clone()).or_default();
        if !ledger.take_ask(&self.config, now_ms, &from, &ask) {
            return;
        }
        if share == Share::NONE && ask.wanted == Share::NONE {
            return;
        }
        let sequence = ask.sequence;
        ledger.lend(&self.config, now_ms, &from, sequence, share);
        let message = Message::Witnessed {
            view,
            organisation,
            sequence,
        };
        effects.push(Effect::Send { to: from, message });
    }

    /// Takes the grant that the successor has noted.
    pub(super) fn take_noted(
        &mut self,
        now_ms: u64,
        view: u64,
        organisation: &OrganisationName,
        sequence: u64,
        effects: &mut Vec<Effect>,
    ) {
        let pending = self.unwitnessed.get(organisation);
        let noted = pending.is_some_and(|grant| grant.sequence == sequence);
        if view != self.view || !noted {
            return;
        }
        if let Some(grant) = self.unwitnessed.swap_remove(organisation) {
            self.take_grant(now_ms, &grant, effects);
        }
    }

    /// Makes accounts of what this host has noted, now that it may have become the home.
    pub(super) fn inherit(&mut self, now_ms: u64) {
        for (organisation, ledger) in std::mem::take(&mut self.witnessed) {
            if self.is_home(&organisation) && !self.accounts.contains_key(&organisation) {
                self.open_account(now_ms, &organisation);
                self.accounts[&organisation].ledger.take_over(ledger);
            }
        }
    }

    /// Says whether this host would be an organisation's home without `home`.
    pub(super) fn follows(
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
