use crate::size::number_unit;

number_unit::number_unit! {
    /// A rate in calls per second.
    CallRate(f64)
}
