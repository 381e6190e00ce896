use crate::size::number_unit;

number_unit::number_unit! {
    /// Counts calls per second.
    CallRate(f64)
}
