use crate::id::text_id;

text_id::text_id! {
    /// Names a kind of request within a service.
    KindName
}
