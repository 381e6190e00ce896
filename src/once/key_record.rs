use crate::call::CallResponse;
use crate::clock::ClockTime;

/// State of one key at an endpoint.
#[derive(Debug)]
pub(super) struct KeyRecord {
    pub(super) state: RecordState,
    /// Largest token with which the key was fenced or run.
    pub(super) token: u64,
    /// Whether the record is removed when the call ends.
    pub(super) generated: bool,
    /// Time at which the record is removed, unless the key is running.
    pub(super) expires: ClockTime,
}

/// Execution state of a key.
#[derive(Debug)]
pub(super) enum RecordState {
    /// The key has not run; attempts with a smaller token are refused.
    Fenced,
    /// The key is running.
    Running,
    /// The key ran. The answer is absent if it was too large to record.
    Finished(Option<CallResponse>),
    /// The call ended without an answer after it may have been written to the backend server.
    Unknown,
}

impl KeyRecord {
    pub(super) fn is_expired(&self, now: ClockTime) -> bool {
        !matches!(self.state, RecordState::Running) && now >= self.expires
    }

    /// Returns the size of the recorded answer in bytes.
    pub(super) fn answer_bytes(&self) -> usize {
        match &self.state {
            RecordState::Finished(Some(answer)) => answer_size(answer),
            _ => 0,
        }
    }
}

/// Returns the size of an answer in bytes, including its headers.
pub(super) fn answer_size(answer: &CallResponse) -> usize {
    let headers = answer.headers.iter();
    let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
    headers + answer.body.len()
}
