use std::str::FromStr;

/// Names a fault under which the convergence of a version is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetFault {
    /// Every second node is killed at the publication and restarted at once.
    HalfRestarted,
    /// The nodes of the first zone, where the platform is, are killed at the publication.
    ZoneLost,
    /// The link between regions is cut for 5 s around the publication; times count from healing.
    RegionsCut,
    /// All open connections between regions go silent at the publication; new ones work.
    LinkSilent,
    /// The platform is down for 5 s around the publication; times count from its return.
    PlatformDown,
    /// The platform accepts requests and never answers for 5 s; times count from the end.
    PlatformSilent,
    /// Every second node is paused for 4 s at the publication; times count from the resumption.
    HalfPaused,
}

impl FleetFault {
    /// All faults with their names.
    pub const ALL: [(&'static str, FleetFault); 7] = [
        ("half-restarted", FleetFault::HalfRestarted),
        ("zone-lost", FleetFault::ZoneLost),
        ("regions-cut", FleetFault::RegionsCut),
        ("link-silent", FleetFault::LinkSilent),
        ("platform-down", FleetFault::PlatformDown),
        ("platform-silent", FleetFault::PlatformSilent),
        ("half-paused", FleetFault::HalfPaused),
    ];

    /// Returns the name.
    #[must_use]
    pub fn name(self) -> &'static str {
        let mut all = FleetFault::ALL.iter();
        all.find(|(_, fault)| *fault == self)
            .map_or("", |(name, _)| *name)
    }
}

impl FromStr for FleetFault {
    type Err = String;

    fn from_str(text: &str) -> Result<FleetFault, String> {
        let mut all = FleetFault::ALL.iter();
        let found = all.find(|(name, _)| *name == text);
        found
            .map(|(_, fault)| *fault)
            .ok_or_else(|| format!("no fault {text}"))
    }
}
