//! Rate limits that endpoints advertise in their responses.

mod advertised_limit;
mod arrival_pacer;
mod request_rate;

pub use advertised_limit::{AdvertisedLimit, LimitChange};
pub use arrival_pacer::ArrivalPacer;
pub use request_rate::{RequestRate, advertised_rate};
