use crate::id::text_id;

text_id::text_id! {
    /// Names an availability zone.
    ZoneName
}
