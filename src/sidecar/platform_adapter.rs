use std::net::SocketAddr;
use std::rc::Rc;

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

    /// Creates a client of the registry at an address.
    fn registry(&self, address: SocketAddr) -> Rc<dyn RegistrySource>;
}
