//! Rate limits that endpoints advertise in their responses, and how nodes keep to them.

mod advertised_limit;
mod arrival_pacer;
mod limit_report;
mod rate_pacer;
mod request_rate;

pub use advertised_limit::{AdvertisedLimit, LimitChange};
pub use arrival_pacer::ArrivalPacer;
pub use limit_report::LimitReport;
pub use rate_pacer::RatePacer;
pub use request_rate::{RequestRate, advertised_rate};
