use crate::size::number_unit;

number_unit::number_unit! {
    /// A number of bytes.
    ByteSize(u64)
}
