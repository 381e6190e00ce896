use std::collections::{BTreeMap, HashMap};

use crate::id::{NodeAddress, ServiceName};
use crate::membership::{MemberEntry, MemberState};

/// Holds a read-only copy of the member table for the call side.
#[derive(Debug, Clone, Default)]
pub struct MemberSnapshot {
    services: HashMap<ServiceName, Vec<MemberView>>,
    places: BTreeMap<NodeAddress, (ServiceName, usize)>,
}

/// Shows one member at the time of the snapshot.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberView {
    /// The entry.
    pub entry: MemberEntry,
    /// Whether enough witnesses reported that the node cannot be reached.
    pub suspected: bool,
}

impl MemberSnapshot {
    /// Creates a snapshot.
    #[must_use]
    pub fn new(views: Vec<MemberView>) -> Self {
        let mut snapshot = Self::default();
        for view in views {
            let service = view.entry.service.clone();
            let members = snapshot.services.entry(service.clone()).or_default();
            snapshot
                .places
                .insert(view.entry.address, (service, members.len()));
            members.push(view);
        }
        snapshot
    }

    /// Returns every known node of a service in order of address, with leaving ones and tombstones.
    #[must_use]
    pub fn members(&self, service: &ServiceName) -> &[MemberView] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the nodes of a service that take work, in order of address; suspected ones included.
    pub fn live<'a>(&'a self, service: &ServiceName) -> impl Iterator<Item = &'a MemberView> + 'a {
        self.members(service)
            .iter()
            .filter(|view| view.entry.state == MemberState::Live)
    }

    /// Returns the node with the given address.
    #[must_use]
    pub fn member(&self, address: &NodeAddress) -> Option<&MemberView> {
        let (service, place) = self.places.get(address)?;
        self.members(service).get(*place)
    }

    /// Returns every known node in order of address.
    pub fn iter(&self) -> impl Iterator<Item = &MemberView> {
        self.places
            .values()
            .filter_map(|(service, place)| self.members(service).get(*place))
    }
}
