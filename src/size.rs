//! Sizes, counts and rates.

mod byte_size;
mod call_rate;
mod number_unit;
mod slot_count;

pub use byte_size::ByteSize;
pub use call_rate::CallRate;
pub use slot_count::SlotCount;
