use std::collections::{BTreeMap, HashMap};

use crate::id::{NodeAddress, ServiceName};
use crate::membership::{MemberEntry, MemberState};

/// Read-only copy of the member table for the routing of calls.
#[derive(Debug, Clone, Default)]
pub struct MemberSnapshot {
    services: HashMap<ServiceName, Vec<MemberView>>,
    positions: BTreeMap<NodeAddress, (ServiceName, usize)>,
}

/// Member at the time of the snapshot.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberView {
    /// Entry of the member.
    pub entry: MemberEntry,
    /// Whether enough nodes report the member as unreachable.
    pub suspected: bool,
}

impl MemberSnapshot {
    /// Creates a snapshot from members in order of address.
    #[must_use]
    pub fn new(views: Vec<MemberView>) -> Self {
        let mut snapshot = Self::default();
        for view in views {
            let service = view.entry.service.clone();
            let members = snapshot.services.entry(service.clone()).or_default();
            snapshot
                .positions
                .insert(view.entry.address, (service, members.len()));
            members.push(view);
        }
        snapshot
    }

    /// Returns all known nodes of a service in order of address, including leaving ones and
    /// tombstones.
    #[must_use]
    pub fn members(&self, service: &ServiceName) -> &[MemberView] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the live nodes of a service in order of address, including suspected ones.
    pub fn live<'a>(&'a self, service: &ServiceName) -> impl Iterator<Item = &'a MemberView> + 'a {
        self.members(service)
            .iter()
            .filter(|view| view.entry.state == MemberState::Live)
    }

    /// Returns the node with the given address.
    #[must_use]
    pub fn member(&self, address: &NodeAddress) -> Option<&MemberView> {
        let (service, position) = self.positions.get(address)?;
        self.members(service).get(*position)
    }

    /// Returns all known nodes in order of address.
    pub fn iter(&self) -> impl Iterator<Item = &MemberView> {
        self.positions
            .values()
            .filter_map(|(service, position)| self.members(service).get(*position))
    }
}
