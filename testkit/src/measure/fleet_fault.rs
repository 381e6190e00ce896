use std::str::FromStr;

/// Fault under which the convergence of a version is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetFault {
    /// Every second node is killed at the time of publication and restarted immediately.
    HalfRestarted,
    /// The nodes of the first zone, which hosts the platform, are killed at the time of
    /// publication.
    ZoneLost,
    /// The link between regions is cut for 5 s around the publication; times are measured from its
    /// restoration.
    RegionsCut,
    /// All existing connections between regions discard bytes from the publication on; new ones
    /// work.
    LinkSilent,
    /// The platform is down for 5 s around the publication; times are measured from its recovery.
    PlatformDown,
    /// The platform accepts requests without responding for 5 s; times are measured from its
    /// recovery.
    PlatformSilent,
    /// Every second node is paused for 4 s at the time of publication; times are measured from its
    /// resumption.
    HalfPaused,
}

impl FleetFault {
    /// All faults with their command-line names.
    pub const ALL: [(&'static str, FleetFault); 7] = [
        ("half-restarted", FleetFault::HalfRestarted),
        ("zone-lost", FleetFault::ZoneLost),
        ("regions-cut", FleetFault::RegionsCut),
        ("link-silent", FleetFault::LinkSilent),
        ("platform-down", FleetFault::PlatformDown),
        ("platform-silent", FleetFault::PlatformSilent),
        ("half-paused", FleetFault::HalfPaused),
    ];

    /// Returns the command-line name.
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
            .ok_or_else(|| format!("unknown fault {text}"))
    }
}
