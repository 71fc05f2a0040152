//! Limits of organisations over all entry hosts, which the sum of all hosts never
//! exceeds.
//!
//! Each zone has a fixed part of an organisation's limit. The organisation's home in the
//! zone grants shares of it to the entry hosts under short leases. The home counts a
//! share as granted until its term has ended by the clocks of both hosts, so the limit
//! holds if messages are lost, duplicated or delayed, and if hosts and homes fail. A new
//! home grants no more than it knows to be held until it knows of every share that could
//! be held. Zones lend to each other in the same way. See docs/design/limits.md for the
//! guarantees and their bounds.

mod authority;
mod config;
mod event;
mod holder;
mod home;
mod ledger;
mod loans;
mod message;
mod share;
mod witness;
mod zone_loans;

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use self::authority::Authority;
pub use self::config::Config;
pub use self::event::{Effect, Event, FleetLimits};
use self::holder::Holding;
use self::home::Account;
use self::ledger::Ledger;
pub use self::message::{
    HeldShare, LoanGrant, LoanRequest, Message, ShareGrant, ShareRequest, WitnessedShare,
};
pub use self::share::Share;
use crate::homes::{HomeKey, Homes};
use crate::membership::Host;
use crate::prelude::*;
use crate::rng::Rng;

/// One host's state of the limits: the shares that it holds and the accounts that it
/// keeps as a home.
#[derive(Debug)]
pub struct State {
    config: Config,
    own: HostName,
    zone: ZoneName,
    started_ms: u64,
    settings: Arc<FleetLimits>,
    homes: Homes,
    view: u64,
    present_hosts: IndexSet<HostName>,
    holdings: IndexMap<OrganisationName, Holding>,
    accounts: IndexMap<OrganisationName, Account>,
    /// Shares that homes hold of their own organisations, where this host is the
    /// successor.
    witnessed_ledgers: IndexMap<OrganisationName, Ledger>,
    /// This host's grants to itself that its successor has not recorded yet.
    unwitnessed_grants: IndexMap<OrganisationName, ShareGrant>,
    authority: Authority,
    rng: Rng,
    last_event_ms: u64,
    next_sweep_ms: u64,
}

impl State {
    /// Creates the state of a host that has just started.
    pub fn new(
        config: Config,
        own: HostName,
        zone: ZoneName,
        now_ms: u64,
        seed: u64,
    ) -> Self {
        State {
            config,
            own,
            zone,
            started_ms: now_ms,
            settings: Arc::default(),
            homes: Homes::new(),
            view: 0,
            present_hosts: IndexSet::new(),
            holdings: IndexMap::new(),
            accounts: IndexMap::new(),
            witnessed_ledgers: IndexMap::new(),
            unwitnessed_grants: IndexMap::new(),
            authority: Authority::new(now_ms),
            rng: Rng::new(seed),
            last_event_ms: now_ms,
            next_sweep_ms: now_ms,
        }
    }

    /// Returns the share of an organisation's limits that this host may use now.
    pub fn usable(&self, now_ms: u64, organisation: &OrganisationName) -> Share {
        let holding = self.holdings.get(organisation);
        holding.map_or(Share::NONE, |holding| holding.usable(now_ms))
    }

    /// Returns the number of requests of an organisation in progress at this host.
    pub fn in_use(&self, organisation: &OrganisationName) -> u32 {
        self.holdings.get(organisation).map_or(0, Holding::in_use)
    }

    /// Returns true if this host, as a home, may grant shares that no host holds yet.
    ///
    /// A host that has just started should accept requests only from then on, since it
    /// would refuse requests of the organisations whose home it is.
    pub fn is_settled(&self, now_ms: u64) -> bool {
        let config = &self.config;
        let wait_ms = config.term_ms.max(config.loan_term_ms)
            + config.margin_ms
            + config.view_lag_ms;
        self.authority.has_all_reports()
            || now_ms >= self.authority.valid_since_ms() + wait_ms
    }

    /// Returns the number of organisations of which this host holds shares or has
    /// requests.
    pub fn holding_count(&self) -> usize {
        self.holdings.len()
    }

    /// Returns the number of organisations whose accounts this host keeps as their home.
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }
}

/// Applies one event to the state and adds its effects to `effects`.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    state.detect_pause(now_ms);
    match event {
        Event::Tick => state.tick(now_ms, effects),
        Event::SettingsChanged { limits } => state.settings = limits,
        Event::HostsChanged {
            view,
            live,
            leaving,
            missing,
        } => {
            state.apply_hosts(now_ms, view, &live, leaving, missing);
            state.send_queries(now_ms, effects);
        }
        Event::DeclaredDead => state.reset_as_home(now_ms),
        Event::AcquirePermit {
            organisation,
            request,
        } => {
            state.acquire_permit(now_ms, organisation, request, effects);
        }
        Event::ReleasePermit { organisation } => {
            if let Some(holding) = state.holdings.get_mut(&organisation) {
                holding.release_permit();
            }
        }
        Event::MessageReceived { from, message } => {
            state.handle_message(now_ms, from, message, effects)
        }
    }
}

impl State {
    /// Resets this host as a home after a pause, since others may have become home
    /// meanwhile.
    fn detect_pause(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.last_event_ms);
        self.last_event_ms = now_ms.max(self.last_event_ms);
        if elapsed_ms >= self.config.pause_ms {
            self.reset_as_home(now_ms);
        }
    }

    fn reset_as_home(&mut self, now_ms: u64) {
        self.accounts.clear();
        self.unwitnessed_grants.clear();
        let present_peers = self.present_peers();
        self.authority.reset(now_ms, present_peers);
    }

    fn present_peers(&self) -> IndexSet<HostName> {
        self.present_hosts
            .iter()
            .filter(|name| **name != self.own)
            .cloned()
            .collect()
    }

    fn tick(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        for holding in self.holdings.values_mut() {
            holding.expire_waiting(&self.config, now_ms, effects);
        }
        self.release_idle_shares(now_ms, effects);
        let due = self
            .holdings
            .iter()
            .filter(|(_, holding)| holding.is_share_request_due(now_ms));
        let due: Vec<OrganisationName> = due.map(|(name, _)| name.clone()).collect();
        for organisation in due {
            self.request_share(now_ms, &organisation, effects);
        }
        self.send_queries(now_ms, effects);
        if now_ms >= self.next_sweep_ms {
            self.next_sweep_ms = now_ms + self.config.sweep_interval_ms;
            self.renew_loans(now_ms, effects);
            self.remove_idle_accounts(now_ms);
        }
    }

    fn acquire_permit(
        &mut self,
        now_ms: u64,
        organisation: OrganisationName,
        request: RequestId,
        effects: &mut Vec<Effect>,
    ) {
        let holding = self
            .holdings
            .entry(organisation.clone())
            .or_insert_with(|| Holding::new(now_ms));
        if holding.acquire_permit(&self.config, now_ms, request, effects) {
            self.request_share(now_ms, &organisation, effects);
        }
    }

    /// Releases the shares of organisations without requests to their homes.
    fn release_idle_shares(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let config = &self.config;
        let is_idle = |holding: &Holding| holding.is_release_due(config, now_ms);
        let due = self.holdings.iter().filter(|(_, holding)| is_idle(holding));
        let due: Vec<OrganisationName> = due.map(|(name, _)| name.clone()).collect();
        for organisation in due {
            let Some(mut holding) = self.holdings.swap_remove(&organisation) else {
                continue;
            };
            let request = holding.release_share(&organisation, self.started_ms, now_ms);
            match self.home_of(&organisation) {
                Some(home) if home == self.own => {
                    self.grant_share(now_ms, &home, &request, effects);
                    let (view, share) = (self.view, Share::NONE);
                    self.send_release_witness(
                        WitnessedShare {
                            view,
                            request,
                            share,
                        },
                        effects,
                    );
                }
                Some(to) => {
                    effects.push(Effect::Send {
                        to,
                        message: Message::ShareRequest(request),
                    });
                }
                None => {}
            }
        }
    }

    /// Requests a share from an organisation's home, which may be this host.
    fn request_share(
        &mut self,
        now_ms: u64,
        organisation: &OrganisationName,
        effects: &mut Vec<Effect>,
    ) {
        let Some(home) = self.home_of(organisation) else {
            return;
        };
        let Some(holding) = self.holdings.get_mut(organisation) else {
            return;
        };
        let request = holding.next_share_request(
            &self.config,
            organisation,
            self.started_ms,
            now_ms,
        );
        if home != self.own {
            effects.push(Effect::Send {
                to: home,
                message: Message::ShareRequest(request),
            });
            return;
        }
        if let Some(grant) = self.grant_share(now_ms, &home, &request, effects) {
            let (view, share) = (self.view, grant.share);
            self.witness_own_grant(
                now_ms,
                WitnessedShare {
                    view,
                    request,
                    share,
                },
                grant,
                effects,
            );
        }
    }

    fn apply_grant(
        &mut self,
        now_ms: u64,
        grant: &ShareGrant,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(holding) = self.holdings.get_mut(&grant.organisation) {
            holding.apply_grant(&self.config, now_ms, grant, effects);
        }
    }

    fn home_of(&mut self, organisation: &OrganisationName) -> Option<HostName> {
        self.homes
            .home(&HomeKey::Organisation(organisation.clone()))
    }

    fn is_home(&mut self, organisation: &OrganisationName) -> bool {
        self.home_of(organisation).as_ref() == Some(&self.own)
    }

    /// Applies a new view of the zone's hosts.
    fn apply_hosts(
        &mut self,
        now_ms: u64,
        view: u64,
        live: &[Host],
        leaving: Vec<HostName>,
        missing: Option<usize>,
    ) {
        let names = live.iter().map(|host| host.name.clone());
        let present_hosts = names.chain(leaving).collect();
        let previously_present =
            std::mem::replace(&mut self.present_hosts, present_hosts);
        if view == self.view {
            self.authority.set_missing(missing);
            return;
        }
        let departed: Vec<HostName> = previously_present
            .difference(&self.present_hosts)
            .cloned()
            .collect();
        self.view = view;
        let mut previous_homes = std::mem::take(&mut self.homes);
        self.homes.update(view, live);
        previous_homes.clear_cache();
        for (organisation, holding) in &mut self.holdings {
            let key = HomeKey::Organisation(organisation.clone());
            if previous_homes.compute_home(&key) != self.homes.home(&key) {
                holding.discard_pending_share_requests();
            }
        }
        let (homes, own) = (&mut self.homes, &self.own);
        self.accounts.retain(|organisation, _| {
            homes.is_home(&HomeKey::Organisation(organisation.clone()), own)
        });
        let present_peers = self.present_peers();
        self.authority.apply_view(
            now_ms,
            previous_homes,
            present_peers,
            live.len(),
            &departed,
        );
        self.authority.set_missing(missing);
        self.unwitnessed_grants.clear();
        self.inherit_accounts(now_ms);
    }

    /// Queries the hosts that have not yet reported what they hold.
    fn send_queries(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let view = self.view;
        for to in self.authority.due_queries(&self.config, now_ms) {
            effects.push(Effect::Send {
                to,
                message: Message::Query { view },
            });
        }
    }

    fn handle_message(
        &mut self,
        now_ms: u64,
        from: HostName,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Message::ShareRequest(request) => {
                if let Some(grant) = self.grant_share(now_ms, &from, &request, effects) {
                    effects.push(Effect::Send {
                        to: from,
                        message: Message::ShareGrant(grant),
                    });
                }
            }
            Message::ShareGrant(grant) => self.apply_grant(now_ms, &grant, effects),
            Message::Query { view } => self.reply_to_query(now_ms, from, view, effects),
            Message::Holdings {
                view,
                started_ms,
                held,
            } => {
                self.apply_holdings(now_ms, &from, view, started_ms, &held);
            }
            Message::Witness(witness) => {
                self.record_witness(now_ms, from, witness, effects)
            }
            Message::WitnessAck {
                view,
                organisation,
                sequence,
            } => {
                self.apply_witnessed(now_ms, view, &organisation, sequence, effects);
            }
            Message::LoanRequest(request) => {
                self.handle_loan_request(now_ms, request, effects)
            }
            Message::LoanGrant(grant) => self.apply_loan_grant(grant, effects),
        }
    }

    /// Reports what this host holds of the organisations whose home is `from`, and of
    /// those whose home is this host and whose successor is `from`.
    ///
    /// It replies only in the same view. There, grants of other hosts no longer count
    /// here, so the report stays complete.
    fn reply_to_query(
        &mut self,
        now_ms: u64,
        from: HostName,
        view: u64,
        effects: &mut Vec<Effect>,
    ) {
        if view != self.view {
            return;
        }
        let mut held = Vec::new();
        let (homes, own) = (&mut self.homes, &self.own);
        for (organisation, holding) in &self.holdings {
            let key = HomeKey::Organisation(organisation.clone());
            let is_relevant = homes.is_home(&key, &from)
                || (homes.is_home(&key, own)
                    && homes.successor(&key).as_ref() == Some(&from));
            if is_relevant {
                held.push(holding.held(organisation, now_ms));
            }
        }
        let message = Message::Holdings {
            view,
            started_ms: self.started_ms,
            held,
        };
        effects.push(Effect::Send { to: from, message });
    }
}
