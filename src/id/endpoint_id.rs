use crate::id::text_id;

text_id::text_id! {
    /// Identifies one incarnation of a backend server.
    EndpointId
}
