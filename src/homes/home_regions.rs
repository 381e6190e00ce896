use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::id::RegionName;

/// The regions in which the requests of a route may be served; an empty list allows all regions.
///
/// ```
/// use endivelanding::homes::HomeRegions;
///
/// let homes = HomeRegions::new(["coast".parse().unwrap()]);
/// assert!(homes.admits(Some(&"coast".parse().unwrap())));
/// assert!(!homes.admits(Some(&"inland".parse().unwrap())));
/// assert!(!homes.admits(None));
/// assert!(HomeRegions::default().admits(None));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HomeRegions(SmallVec<[RegionName; 2]>);

impl HomeRegions {
    /// Creates the list of allowed regions.
    #[must_use]
    pub fn new<Regions>(regions: Regions) -> Self
    where
        Regions: IntoIterator<Item = RegionName>,
    {
        Self(regions.into_iter().collect())
    }

    /// Returns true if all regions are allowed.
    #[must_use]
    pub fn is_unrestricted(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the allowed regions.
    pub fn regions(&self) -> impl Iterator<Item = &RegionName> {
        self.0.iter()
    }

    /// Returns true if an endpoint in a region may serve the requests. The region of an endpoint may
    /// be unknown, in which case it is not an allowed one.
    #[must_use]
    pub fn admits(&self, region: Option<&RegionName>) -> bool {
        self.is_unrestricted() || region.is_some_and(|region| self.0.contains(region))
    }
}
