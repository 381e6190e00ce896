use std::net::SocketAddr;
use std::rc::Rc;

use crate::clock::ClockTime;
use crate::error::Result;
use crate::mesh::RegistrySource;
use crate::sidecar::SidecarSettings;

/// Connection of a node to the platform on which it runs.
pub trait PlatformAdapter {
    /// Reads the current settings.
    ///
    /// # Errors
    ///
    /// A settings code if they are invalid; the caller then keeps the previous settings.
    fn load_settings(&self) -> Result<SidecarSettings>;

    /// Creates a client for the registry at an address.
    ///
    /// `transfer` is the time that the largest value in the registry takes to arrive.
    fn registry(&self, address: SocketAddr, transfer: ClockTime) -> Rc<dyn RegistrySource>;
}
