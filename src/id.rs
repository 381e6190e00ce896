//! Identifiers of services, kinds, zones, nodes and requests.

mod endpoint_id;
mod kind_name;
mod node_address;
mod node_incarnation;
mod region_name;
mod request_key;
mod service_name;
mod text_id;
mod zone_name;

pub use endpoint_id::EndpointId;
pub use kind_name::KindName;
pub use node_address::NodeAddress;
pub use node_incarnation::NodeIncarnation;
pub use region_name::RegionName;
pub use request_key::RequestKey;
pub use service_name::ServiceName;
pub use zone_name::ZoneName;
