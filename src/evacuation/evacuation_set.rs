use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::clock::ClockTime;
use crate::id::ZoneName;

/// A few availability zones.
type ZoneList = SmallVec<[ZoneName; 2]>;

/// The zones whose evacuation has begun or ended with a change.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Zones that are to be evacuated from now on.
    pub begun: ZoneList,
    /// Zones that are used again.
    pub ended: ZoneList,
}

/// The evacuated availability zones, with the time from which the node knows of each.
#[derive(Debug, Default)]
pub struct EvacuationSet {
    zones: BTreeMap<ZoneName, ClockTime>,
}

impl EvacuationSet {
    /// Creates a set without zones.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns true if nothing is to be sent to endpoints of a zone.
    #[must_use]
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.zones.contains_key(zone)
    }

    /// Returns the zones and the time from which the node knows of their evacuation.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneName, ClockTime)> {
        self.zones.iter().map(|(zone, since)| (zone, *since))
    }

    /// Adds a zone or removes it; returns what has changed.
    pub fn set(&mut self, now: ClockTime, zone: ZoneName, is_evacuated: bool) -> EvacuationChange {
        let mut change = EvacuationChange::default();
        if !is_evacuated {
            change.ended.extend(self.zones.remove(&zone).map(|_| zone));
        } else if !self.zones.contains_key(&zone) {
            self.zones.insert(zone.clone(), now);
            change.begun.push(zone);
        }
        change
    }

    /// Replaces all zones; returns what has changed.
    pub fn replace<Zones>(&mut self, now: ClockTime, zones: Zones) -> EvacuationChange
    where
        Zones: IntoIterator<Item = ZoneName>,
    {
        let mut previous = std::mem::take(&mut self.zones);
        let mut change = EvacuationChange::default();
        for zone in zones {
            let since = previous.remove(&zone);
            if since.is_none() {
                change.begun.push(zone.clone());
            }
            self.zones.insert(zone, since.unwrap_or(now));
        }
        change.ended.extend(previous.into_keys());
        change
    }
}
