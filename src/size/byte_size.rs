use crate::size::number_unit;

number_unit::number_unit! {
    /// Counts bytes.
    ByteSize(u64)
}
