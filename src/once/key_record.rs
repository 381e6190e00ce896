use crate::call::CallResponse;
use crate::clock::ClockTime;

/// State of one key at an endpoint.
#[derive(Debug)]
pub(super) struct KeyRecord {
    pub(super) state: RecordState,
    /// Largest token with which the key was fenced or run.
    pub(super) token: u64,
    /// Whether the entry node generated the key; the record is then removed when the call ends.
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
    /// The key ran. The response is absent if it was too large to record.
    Finished(Option<CallResponse>),
    /// The call ended without a response after it may have been written to the backend server.
    Unknown,
}

impl KeyRecord {
    pub(super) fn is_expired(&self, now: ClockTime) -> bool {
        !matches!(self.state, RecordState::Running) && now >= self.expires
    }

    /// Returns the size of the recorded response in bytes.
    pub(super) fn response_bytes(&self) -> usize {
        match &self.state {
            RecordState::Finished(Some(response)) => response_size(response),
            _ => 0,
        }
    }
}

/// Returns the size of a response in bytes, including its headers.
pub(super) fn response_size(response: &CallResponse) -> usize {
    let headers = response.headers.iter();
    let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
    headers + response.body.len()
}
