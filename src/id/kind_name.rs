use crate::id::text_id;

text_id::text_id! {
    /// Name of a kind of request within a service.
    KindName
}
