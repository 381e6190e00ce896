use crate::id::text_id;

text_id::text_id! {
    /// Identifier of one incarnation of a backend server.
    EndpointId
}
