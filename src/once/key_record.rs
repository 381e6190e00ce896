use crate::call::CallResponse;
use crate::clock::ClockTime;

/// Holds what an endpoint knows of one key.
#[derive(Debug)]
pub(super) struct KeyRecord {
    pub(super) state: RecordState,
    /// Largest token that fenced or ran the key.
    pub(super) token: u64,
    /// Whether the record ends with the call.
    pub(super) private: bool,
    /// Instant at which the record is dropped, unless the key is running.
    pub(super) expires: ClockTime,
}

/// States how far a key has come.
#[derive(Debug)]
pub(super) enum RecordState {
    /// It has not run, and smaller tokens are refused.
    Fenced,
    /// It is running.
    Running,
    /// It ran; without an answer if that was too large to keep.
    Finished(Option<CallResponse>),
    /// It was cut off after it may have been written to the backend server.
    Unknown,
}

impl KeyRecord {
    pub(super) fn is_expired(&self, now: ClockTime) -> bool {
        !matches!(self.state, RecordState::Running) && now >= self.expires
    }

    /// Returns the bytes of the recorded answer.
    pub(super) fn answer_bytes(&self) -> usize {
        match &self.state {
            RecordState::Finished(Some(answer)) => size_of(answer),
            _ => 0,
        }
    }
}

/// Returns the bytes of an answer with its headers.
pub(super) fn size_of(answer: &CallResponse) -> usize {
    let headers = answer.headers.iter();
    let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
    headers + answer.body.len()
}
