/// Why an attempt is made.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum AttemptCause {
    /// No endpoint has received the request.
    #[default]
    First,
    /// An endpoint has refused or failed it, or is slow.
    Repeat,
    /// An endpoint has closed its connection while it worked on the request.
    Loss,
}
