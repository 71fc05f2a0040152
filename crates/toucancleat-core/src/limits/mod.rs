//! Limits of organisations over all entry hosts, never exceeded in sum.
//!
//! Each zone has a fixed part of an organisation's limit, and the organisation's home in
//! the zone lends it to the entry hosts for short terms. The lender counts a share as
//! lent until the borrower's term has ended by both clocks, so that messages may be lost,
//! repeated or late, and hosts and homes may fail. A new home lends no more than it knows
//! to be held until it knows of all that could be held. Zones lend to each other in the
//! same way. See docs/design/limits.md for what is promised and where it ends.

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
pub use self::message::{Ask, Grant, Held, LoanAsk, LoanGrant, Message, Witness};
pub use self::share::Share;
use crate::homes::{HomeKey, Homes};
use crate::membership::Host;
use crate::prelude::*;
use crate::rng::Rng;

/// One host's part in the limits: what it holds, and what it lends as a home.
#[derive(Debug)]
pub struct State {
    config: Config,
    own: HostName,
    zone: ZoneName,
    started_ms: u64,
    settings: Arc<FleetLimits>,
    homes: Homes,
    view: u64,
    present: IndexSet<HostName>,
    holdings: IndexMap<OrganisationName, Holding>,
    accounts: IndexMap<OrganisationName, Account>,
    /// What homes hold themselves that this host would follow.
    witnessed: IndexMap<OrganisationName, Ledger>,
    /// This host's grants to itself that its successor has not noted yet.
    unwitnessed: IndexMap<OrganisationName, Grant>,
    authority: Authority,
    rng: Rng,
    last_event_ms: u64,
    next_sweep_ms: u64,
}

impl State {
    /// Makes the part of a host that has just started.
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
            present: IndexSet::new(),
            holdings: IndexMap::new(),
            accounts: IndexMap::new(),
            witnessed: IndexMap::new(),
            unwitnessed: IndexMap::new(),
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

    /// Returns how many requests of an organisation are in progress at this host.
    pub fn in_use(&self, organisation: &OrganisationName) -> u32 {
        self.holdings.get(organisation).map_or(0, Holding::in_use)
    }

    /// Says whether this host, as a home, may lend what nobody holds yet.
    ///
    /// A host that has just started had better not take requests before, since it would
    /// refuse those of the organisations that it is home of.
    pub fn may_lend(&self, now_ms: u64) -> bool {
        let config = &self.config;
        let wait_ms = config.term_ms.max(config.loan_term_ms)
            + config.margin_ms
            + config.view_lag_ms;
        self.authority.all_told() || now_ms >= self.authority.began_ms() + wait_ms
    }

    /// Returns how many organisations this host holds something of.
    pub fn holdings(&self) -> usize {
        self.holdings.len()
    }

    /// Returns how many organisations this host keeps the account of, as their home.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }
}

/// Takes one event into the state.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    state.notice_pause(now_ms);
    match event {
        Event::Tick => state.tick(now_ms, effects),
        Event::Settings { limits } => state.settings = limits,
        Event::Hosts {
            view,
            live,
            leaving,
            missing,
        } => {
            state.take_hosts(now_ms, view, &live, leaving, missing);
            state.query(now_ms, effects);
        }
        Event::DeclaredDead => state.begin_again(now_ms),
        Event::Arrived {
            organisation,
            request,
        } => {
            state.arrived(now_ms, organisation, request, effects);
        }
        Event::Finished { organisation } => {
            if let Some(holding) = state.holdings.get_mut(&organisation) {
                holding.finished();
            }
        }
        Event::Received { from, message } => {
            state.receive(now_ms, from, message, effects)
        }
    }
}

impl State {
    /// Begins again as a home after a pause: others may have taken over meanwhile.
    fn notice_pause(&mut self, now_ms: u64) {
        let silence_ms = now_ms.saturating_sub(self.last_event_ms);
        self.last_event_ms = now_ms.max(self.last_event_ms);
        if silence_ms >= self.config.pause_ms {
            self.begin_again(now_ms);
        }
    }

    fn begin_again(&mut self, now_ms: u64) {
        self.accounts.clear();
        self.unwitnessed.clear();
        let others = self.others();
        self.authority.reset(now_ms, others);
    }

    fn others(&self) -> IndexSet<HostName> {
        self.present
            .iter()
            .filter(|name| **name != self.own)
            .cloned()
            .collect()
    }

    fn tick(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        for holding in self.holdings.values_mut() {
            holding.expire_waiting(&self.config, now_ms, effects);
        }
        self.release_idle(now_ms, effects);
        let due = self
            .holdings
            .iter()
            .filter(|(_, holding)| holding.ask_is_due(now_ms));
        let due: Vec<OrganisationName> = due.map(|(name, _)| name.clone()).collect();
        for organisation in due {
            self.ask(now_ms, &organisation, effects);
        }
        self.query(now_ms, effects);
        if now_ms >= self.next_sweep_ms {
            self.next_sweep_ms = now_ms + self.config.sweep_interval_ms;
            self.renew_loans(now_ms, effects);
            self.forget_accounts(now_ms);
        }
    }

    fn arrived(
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
        if holding.arrive(&self.config, now_ms, request, effects) {
            self.ask(now_ms, &organisation, effects);
        }
    }

    /// Gives back the shares of organisations without requests.
    fn release_idle(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let config = &self.config;
        let idle = |holding: &Holding| holding.release_is_due(config, now_ms);
        let due = self.holdings.iter().filter(|(_, holding)| idle(holding));
        let due: Vec<OrganisationName> = due.map(|(name, _)| name.clone()).collect();
        for organisation in due {
            let Some(mut holding) = self.holdings.swap_remove(&organisation) else {
                continue;
            };
            let ask = holding.release(&organisation, self.started_ms, now_ms);
            match self.home_of(&organisation) {
                Some(home) if home == self.own => {
                    self.answer(now_ms, &home, &ask, effects);
                    let (view, share) = (self.view, Share::NONE);
                    self.tell_release(Witness { view, ask, share }, effects);
                }
                Some(to) => {
                    effects.push(Effect::Send {
                        to,
                        message: Message::Ask(ask),
                    });
                }
                None => {}
            }
        }
    }

    /// Asks an organisation's home for a share.
    fn ask(
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
        let ask = holding.ask(&self.config, organisation, self.started_ms, now_ms);
        if home != self.own {
            effects.push(Effect::Send {
                to: home,
                message: Message::Ask(ask),
            });
            return;
        }
        if let Some(grant) = self.answer(now_ms, &home, &ask, effects) {
            let (view, share) = (self.view, grant.share);
            self.take_own_grant(now_ms, Witness { view, ask, share }, grant, effects);
        }
    }

    fn take_grant(&mut self, now_ms: u64, grant: &Grant, effects: &mut Vec<Effect>) {
        if let Some(holding) = self.holdings.get_mut(&grant.organisation) {
            holding.take_grant(&self.config, now_ms, grant, effects);
        }
    }

    fn home_of(&mut self, organisation: &OrganisationName) -> Option<HostName> {
        self.homes
            .home(&HomeKey::Organisation(organisation.clone()))
    }

    fn is_home(&mut self, organisation: &OrganisationName) -> bool {
        self.home_of(organisation).as_ref() == Some(&self.own)
    }

    /// Takes a new view of the zone's hosts.
    fn take_hosts(
        &mut self,
        now_ms: u64,
        view: u64,
        live: &[Host],
        leaving: Vec<HostName>,
        missing: Option<usize>,
    ) {
        let names = live.iter().map(|host| host.name.clone());
        let present = names.chain(leaving).collect();
        let before = std::mem::replace(&mut self.present, present);
        if view == self.view {
            self.authority.take_missing(missing);
            return;
        }
        let gone: Vec<HostName> = before.difference(&self.present).cloned().collect();
        self.view = view;
        let mut earlier = std::mem::take(&mut self.homes);
        self.homes.update(view, live);
        earlier.forget_cached();
        for (organisation, holding) in &mut self.holdings {
            let key = HomeKey::Organisation(organisation.clone());
            if earlier.work_out(&key) != self.homes.home(&key) {
                holding.forget_asked();
            }
        }
        let (homes, own) = (&mut self.homes, &self.own);
        self.accounts.retain(|organisation, _| {
            homes.is_home(&HomeKey::Organisation(organisation.clone()), own)
        });
        let others = self.others();
        self.authority
            .take_view(now_ms, earlier, others, live.len(), &gone);
        self.authority.take_missing(missing);
        self.unwitnessed.clear();
        self.inherit(now_ms);
    }

    /// Asks the hosts that have not yet said what they hold.
    fn query(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let view = self.view;
        for to in self.authority.due_queries(&self.config, now_ms) {
            effects.push(Effect::Send {
                to,
                message: Message::Query { view },
            });
        }
    }

    fn receive(
        &mut self,
        now_ms: u64,
        from: HostName,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Message::Ask(ask) => {
                if let Some(grant) = self.answer(now_ms, &from, &ask, effects) {
                    effects.push(Effect::Send {
                        to: from,
                        message: Message::Grant(grant),
                    });
                }
            }
            Message::Grant(grant) => self.take_grant(now_ms, &grant, effects),
            Message::Query { view } => self.answer_query(now_ms, from, view, effects),
            Message::Holdings {
                view,
                started_ms,
                held,
            } => {
                self.take_holdings(now_ms, &from, view, started_ms, &held);
            }
            Message::Witness(witness) => self.note(now_ms, from, witness, effects),
            Message::Witnessed {
                view,
                organisation,
                sequence,
            } => {
                self.take_noted(now_ms, view, &organisation, sequence, effects);
            }
            Message::LoanAsk(ask) => self.answer_loan(now_ms, ask, effects),
            Message::LoanGrant(grant) => self.take_loan(grant, effects),
        }
    }

    /// Says what this host holds of the organisations whose home the asker is, and of its
    /// own whose successor the asker is.
    ///
    /// Only in the same view: then no other host's grant counts here any more, so that
    /// what is said stays complete.
    fn answer_query(
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
            let concerned = homes.is_home(&key, &from)
                || (homes.is_home(&key, own)
                    && homes.successor(&key).as_ref() == Some(&from));
            if concerned {
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
