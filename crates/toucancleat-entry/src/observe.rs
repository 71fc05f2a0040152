//! Observes targets and reads the host list.

use std::sync::Arc;

use toucancleat_core::Event;
use toucancleat_core::membership;
use toucancleat_core::observation::Observation;
use toucancleat_core::prelude::*;
use toucancleat_core::settings::TargetClass;

use crate::driver::Input;
use crate::host::Host;
use crate::platform::ListedHost;
use crate::{engine, service};

/// Role of an entry host in the host list.
pub(crate) const ROLE_ENTRY: &str = "entry";
/// Role of a target in the host list.
const ROLE_TARGET: &str = "target";
/// State of a leaving host in the host list.
const STATE_LEAVING: &str = "leaving";

/// Observes a target and reports the observation to the reducer.
pub(crate) async fn observe(
    host: Arc<Host>,
    target: TargetName,
    requested_ms: u64,
    class: TargetClass,
    address: String,
) {
    let observation = match address.parse() {
        Ok(address) if class == TargetClass::ModelEngine => {
            engine::observe(&host.pooled, address).await
        }
        Ok(address) => service::observe(&host.pooled, address).await,
        Err(_) => Observation::NoAnswer,
    };
    if let Observation::Serving {
        load: Some(load), ..
    } = &observation
    {
        host.metrics
            .record_preemptions(&target, load.preemptions_total);
    }
    host.notify_driver(Input::Event(Event::TargetObserved {
        target,
        requested_ms,
        observation,
    }));
}

/// Reads the host list and reports it to the reducer.
pub(crate) async fn read_host_list(host: Arc<Host>) {
    let listed = match host.platform.list_hosts().await {
        Ok(listed) => listed,
        Err(error) => {
            log::debug!(
                "the host list could not be read; keeping the known one: {error}"
            );
            return;
        }
    };
    let leaving_targets = listed
        .iter()
        .filter(|listed| listed.role == ROLE_TARGET && listed.state == STATE_LEAVING)
        .map(|listed| TargetName::new(&listed.name))
        .collect();
    let hosts = listed.iter().filter_map(parse_entry_host).collect();
    host.notify_driver(Input::Event(Event::HostListRead {
        hosts,
        leaving_targets,
    }));
}

fn parse_entry_host(listed: &ListedHost) -> Option<membership::ListedHost> {
    if listed.role != ROLE_ENTRY {
        return None;
    }
    Some(membership::ListedHost {
        name: HostName::new(&listed.name),
        zone: ZoneName::new(&listed.zone),
        address: listed.peer_address?,
        is_leaving: listed.state == STATE_LEAVING,
    })
}
