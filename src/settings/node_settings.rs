use std::collections::HashMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use log::LevelFilter;

use crate::error::{Error, Result, ResultCode};
use crate::id::NodeAddress;
use crate::settings::{
    BackendSettings, BurnSettings, CallSettings, ListenSettings, PlacementSettings,
    PlatformSettings, SettingTable,
};

/// All settings of a node.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Service, zone and region of the node.
    pub placement: PlacementSettings,
    /// Listen addresses of the node.
    pub listen: ListenSettings,
    /// Connection to the backend server of the node.
    pub backend: BackendSettings,
    /// Connection to the platform.
    pub platform: PlatformSettings,
    /// Peer addresses of the nodes to contact at startup.
    pub seeds: Vec<NodeAddress>,
    /// Addresses to connect to for peers that are not reachable at their address in the instance
    /// list.
    pub dial: HashMap<NodeAddress, SocketAddr>,
    /// Limits on calls.
    pub call: CallSettings,
    /// Windows of the burn report.
    pub burn: BurnSettings,
    /// Log level.
    pub log_level: LevelFilter,
    /// Seed of the random number generator; taken from the operating system if `None`.
    pub random_seed: Option<u64>,
}

impl NodeSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns a settings code (101 to 106) with a message that contains the file, the key and the
    /// allowed values.
    pub fn load(path: &Path) -> Result<Self> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|error| {
            Error::new(
                ResultCode::SettingsUnreadable,
                format!("{file}: cannot be read: {error}"),
            )
        })?;
        Self::parse(&file, &text)
    }

    /// Parses and validates the text of a settings file; messages refer to it as `file`.
    ///
    /// # Errors
    ///
    /// Returns a settings code (102 to 106).
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let mut root = SettingTable::parse(file, text)?;
        let settings = Self {
            placement: PlacementSettings::read(root.table("placement")?)?,
            listen: ListenSettings::read(root.table("listen")?)?,
            backend: BackendSettings::read(root.table("backend")?)?,
            platform: PlatformSettings::read(root.table("platform")?)?,
            seeds: root.list("seeds", "numeric addresses and ports")?,
            dial: root.table("dial")?.entries("a numeric address and port")?,
            call: CallSettings::read(root.table("call")?)?,
            burn: BurnSettings::read(root.table("burn")?)?,
            log_level: root
                .optional("log_level", "off, error, warn, info, debug or trace")?
                .unwrap_or(LevelFilter::Info),
            random_seed: root.integer("random_seed", 0..=i64::MAX as u64)?,
        };
        root.finish()?;
        settings.check_addresses(file)?;
        Ok(settings)
    }

    fn check_addresses(&self, file: &str) -> Result<()> {
        let addresses: [(&str, SocketAddr); 4] = [
            ("listen.caller", self.listen.caller),
            ("listen.peer", self.listen.peer),
            ("listen.admin", self.listen.admin),
            ("backend.address", self.backend.address),
        ];
        for (index, (key, address)) in addresses.iter().enumerate() {
            let earlier = addresses[..index]
                .iter()
                .find(|(_, other)| other == address);
            if let Some((other_key, _)) = earlier {
                return Err(duplicate_address(file, key, other_key, *address));
            }
        }
        let own = NodeAddress(self.listen.peer);
        for (index, seed) in self.seeds.iter().enumerate() {
            if *seed == own {
                return Err(duplicate_address(file, "seeds", "listen.peer", own.0));
            }
            if self.seeds[..index].contains(seed) {
                return Err(duplicate_address(file, "seeds", "seeds", seed.0));
            }
        }
        Ok(())
    }
}

fn duplicate_address(file: &str, key: &str, other_key: &str, address: SocketAddr) -> Error {
    Error::new(
        ResultCode::SettingsDuplicateAddress,
        format!(
            "{file}: key `{key}` repeats the address {address} of key `{other_key}`; each must be different"
        ),
    )
}
