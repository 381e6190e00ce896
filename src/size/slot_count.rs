use crate::size::number_unit;

number_unit::number_unit! {
    /// A number of slots: the calls that the backend server of an endpoint runs concurrently.
    SlotCount(u32)
}
