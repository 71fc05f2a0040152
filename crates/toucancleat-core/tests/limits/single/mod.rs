//! Tests of the limits reducer of a single host, event by event.

mod holder;
mod home;

use std::net::SocketAddr;
use std::sync::Arc;

use toucancleat_core::homes::{HomeKey, rank};
use toucancleat_core::limits::{
    Config, Effect, Event, FleetLimits, HeldShare, Message, Share, ShareRequest, State,
    reduce,
};
use toucancleat_core::membership::Host;
use toucancleat_core::prelude::*;

const ORGANISATION: &str = "federation";
const LIMIT: Share = Share {
    millirequests_per_s: 40_000,
    concurrent: 40,
};
/// The part of the limit that the tested zone has, one of two zones.
const ZONE_SHARE: Share = Share {
    millirequests_per_s: 20_000,
    concurrent: 20,
};

/// A reducer of one host with its clock and helpers to send it events.
struct SingleHost {
    state: State,
    now_ms: u64,
    last_sequence: u64,
}

impl SingleHost {
    fn new(own: &str) -> Self {
        let own = HostName::new(own);
        let zone = ZoneName::new("kumamoto");
        let now_ms = 1_000_000;
        let mut state = State::new(Config::default(), own, zone.clone(), now_ms, 1);
        let mut limits = FleetLimits::default();
        limits.zones.extend([zone, ZoneName::new("fukuoka-a")]);
        limits.limits.insert(organisation(), LIMIT);
        let limits = Arc::new(limits);
        reduce(
            &mut state,
            now_ms,
            Event::SettingsChanged { limits },
            &mut Vec::new(),
        );
        SingleHost {
            state,
            now_ms,
            last_sequence: 0,
        }
    }

    fn apply_event(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        reduce(&mut self.state, self.now_ms, event, &mut effects);
        effects
    }

    fn receive(&mut self, from: &str, message: Message) -> Vec<Effect> {
        let from = HostName::new(from);
        self.apply_event(Event::MessageReceived { from, message })
    }

    fn apply_view(&mut self, view: u64, live: &[&str], missing: usize) {
        let live = live.iter().map(|name| host(name)).collect();
        let missing = Some(missing);
        self.apply_event(Event::HostsChanged {
            view,
            live,
            leaving: Vec::new(),
            missing,
        });
    }

    /// Advances the clock and sends the ticks that are due.
    fn wait_ms(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms = end_ms.min(self.now_ms + 100);
            self.apply_event(Event::Tick);
        }
    }

    /// Sends a share request from another host for more than is available. Returns the
    /// granted share.
    fn request_share_as(
        &mut self,
        from: &str,
        granted_sequence: u64,
        held: Share,
    ) -> Share {
        self.last_sequence += 1;
        let remaining_ms = if held == Share::NONE { 0 } else { 1_000 };
        let request = ShareRequest {
            organisation: organisation(),
            started_ms: 1,
            sequence: self.last_sequence,
            granted_sequence,
            held: HeldShare {
                organisation: organisation(),
                share: held,
                remaining_ms,
                in_use: 0,
            },
            wanted: LIMIT,
            waiting: 0,
        };
        let effects = self.receive(from, Message::ShareRequest(request));
        let grant = effects.iter().find_map(|effect| match effect {
            Effect::Send {
                message: Message::ShareGrant(grant),
                ..
            } => Some(grant.share),
            _ => None,
        });
        grant.unwrap_or(Share::NONE)
    }
}

fn organisation() -> OrganisationName {
    OrganisationName::new(ORGANISATION)
}

fn host(name: &str) -> Host {
    Host {
        name: HostName::new(name),
        zone: ZoneName::new("kumamoto"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: Incarnation(1),
    }
}

/// Returns the organisation's home among three hosts, its successor and the third host.
fn ranked_hosts() -> [&'static str; 3] {
    let hosts = ["entry-1", "entry-2", "entry-3"].map(host);
    let key = HomeKey::Organisation(organisation());
    let ranked = rank(&key, &hosts, hosts.len());
    let name = |host: &Host| match host.name.as_str() {
        "entry-1" => "entry-1",
        "entry-2" => "entry-2",
        _ => "entry-3",
    };
    [name(ranked[0]), name(ranked[1]), name(ranked[2])]
}

fn new_home_wait_ms() -> u64 {
    let config = Config::default();
    config.term_ms + config.margin_ms + config.view_lag_ms
}

/// Returns a settled home that is the only host of its zone.
fn settled_home() -> SingleHost {
    let mut home = SingleHost::new("entry-1");
    home.apply_view(1, &["entry-1"], 0);
    home.wait_ms(new_home_wait_ms() + Config::default().max_request_duration_ms);
    home
}
