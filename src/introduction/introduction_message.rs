use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::mesh::HistoryEra;

/// Path for introductions.
pub(crate) const INTRODUCTION_PATH: &str = "/introduction/1";

/// Tells a child which node to ask for a fresher view.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Introduction {
    /// Address of the sender.
    pub(crate) sender: IpAddr,
    /// Era of the registry's history that the sender's view reflects.
    pub(crate) era: HistoryEra,
    /// Age of the sender's view.
    pub(crate) age: ClockTime,
}

/// Response to an introduction.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct IntroductionReply {
    /// Age of the responding node's view; `None` if it has never been synchronized.
    pub(crate) age: Option<ClockTime>,
}
