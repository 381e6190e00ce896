use std::str::FromStr;

/// Fault under which the convergence of a version is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetFault {
    /// Every second node is killed before the publication and restarted after it.
    HalfRestarted,
    /// The nodes of the first zone, which hosts the platform, are killed before the publication.
    ZoneLost,
    /// The link between regions is cut from before the publication until 5 s after it; times are
    /// measured from its restoration.
    RegionsCut,
    /// All connections between regions that exist before the publication discard their bytes; new
    /// ones operate normally.
    LinkSilent,
    /// The platform is down from before the publication until 5 s after it; times are measured from
    /// its recovery.
    PlatformDown,
    /// The platform accepts requests without responding, from before the publication until 5 s
    /// after it; times are measured from its recovery.
    PlatformSilent,
    /// Every second node is paused before the publication and resumed 4 s after it; times are
    /// measured from the resumption.
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
