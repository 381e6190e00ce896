use crate::id::text_id;

text_id::text_id! {
    /// Name of a service.
    ServiceName
}
