//! Regions to which requests are confined.
//!
//! A route and an organisation may each name home regions. A request reaches only targets in
//! them, and is handed off only to hosts in them. First attempts, retries, migrations and
//! handoffs all ask this. See docs/design/home-regions.md.

use indexmap::IndexMap;
use toucancleat_core::prelude::*;

use crate::configuration::{Configuration, Route};

/// The home regions of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Confinement<'a> {
    route: &'a [RegionName],
    organisation: &'a [RegionName],
}

impl<'a> Confinement<'a> {
    /// Returns the home regions of a request that belongs to a route and to the organisation of
    /// an API key.
    pub fn new(
        configuration: &'a Configuration,
        route: &'a Route,
        api_key: Option<&str>,
    ) -> Self {
        let organisation = api_key.and_then(|key| configuration.organisations.get(key));
        Confinement {
            route: &route.confining_regions,
            organisation: organisation
                .map_or(&[], |organisation| &organisation.confining_regions),
        }
    }

    /// Returns true if the request may not be sent to some of the zones whose regions are given.
    pub fn is_confined(&self, regions: &IndexMap<ZoneName, RegionName>) -> bool {
        regions.keys().any(|zone| !self.permit(regions, zone))
    }

    /// Returns true if the request may be sent to a zone, given the region of each.
    ///
    /// If the route and the organisation both have home regions, both bind. A zone whose region
    /// isn't known is foreign. A deployment without regions confines nothing.
    pub fn permit(
        &self,
        regions: &IndexMap<ZoneName, RegionName>,
        zone: &ZoneName,
    ) -> bool {
        if self.is_empty() || regions.is_empty() {
            return true;
        }
        let contains =
            |homes: &[RegionName], region| homes.is_empty() || homes.contains(region);
        regions.get(zone).is_some_and(|region| {
            contains(self.route, region) && contains(self.organisation, region)
        })
    }

    /// Returns true if neither the route nor the organisation has home regions.
    pub fn is_empty(&self) -> bool {
        self.route.is_empty() && self.organisation.is_empty()
    }
}
