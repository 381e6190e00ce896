use std::net::SocketAddr;
use std::rc::Rc;

use crate::clock::ClockTime;
use crate::error::Result;
use crate::mesh::RegistrySource;
use crate::sidecar::SidecarSettings;

/// Connects a node to the platform that it runs on.
pub trait PlatformAdapter {
    /// Reads the settings as they are now.
    ///
    /// # Errors
    ///
    /// A code of the settings; the settings in force then stay.
    fn load_settings(&self) -> Result<SidecarSettings>;

    /// Creates a client of the registry at an address, whose largest value arrives within
    /// `transfer`.
    fn registry(&self, address: SocketAddr, transfer: ClockTime) -> Rc<dyn RegistrySource>;
}
