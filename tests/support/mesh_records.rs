//! Names and endpoint records for tests of the mesh data model.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use endivelanding::clock::ClockTime;
use endivelanding::mesh::{EndpointRecord, EndpointState};

pub fn name<Name>(text: &str) -> Name
where
    Name: std::str::FromStr,
    Name::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

pub fn endpoint(id: &str, index: u8, born: u64, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        id: name(id),
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, index)), 80),
        service: name("a"),
        zone: name("west"),
        capacity: 6,
        state: EndpointState::Ready,
        warm_up: ClockTime(0),
        born,
        sequence,
        registered: 1,
    }
}
