use crate::size::number_unit;

number_unit::number_unit! {
    /// Counts slots of an endpoint: calls that its backend server runs at the same time.
    SlotCount(u32)
}
