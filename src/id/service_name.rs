use crate::id::text_id;

text_id::text_id! {
    /// Names a service.
    ServiceName
}
