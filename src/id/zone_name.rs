use crate::id::text_id;

text_id::text_id! {
    /// Name of an availability zone.
    ZoneName
}
