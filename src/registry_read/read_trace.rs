use std::cell::Cell;
use std::rc::Rc;

use crate::clock::ClockTime;
use crate::registry_read::ReadReason;
use crate::sidecar::node_state::NodeState;
use crate::size::ByteSize;

/// Size of the responses from which a read is logged, whatever its reason.
const LARGE_READ_BYTES: u64 = 64 << 10;

/// Trace of one read of the registry, which is logged and counted when it is dropped.
///
/// A refresh ends with its first source that succeeds and drops the others, so a read may end before
/// its response has arrived.
pub(crate) struct ReadTrace {
    state: Rc<NodeState>,
    reason: ReadReason,
    started_at: ClockTime,
    age: Option<ClockTime>,
    config_age: Option<ClockTime>,
    size: Cell<ByteSize>,
    result: Cell<&'static str>,
}

impl ReadTrace {
    pub(crate) fn new(state: &Rc<NodeState>, reason: ReadReason) -> Self {
        Self {
            reason,
            started_at: state.clock.now(),
            age: state.age(),
            config_age: state.config_age(),
            size: Cell::new(ByteSize(0)),
            result: Cell::new("dropped"),
            state: Rc::clone(state),
        }
    }

    /// Adds the size of a complete response.
    pub(crate) fn add_response(&self, size: ByteSize) {
        self.size.set(ByteSize(self.size.get().0 + size.0));
    }

    /// Records the result; a read without one has been dropped.
    pub(crate) fn finish(&self, result: &'static str) {
        self.result.set(result);
    }
}

impl Drop for ReadTrace {
    fn drop(&mut self) {
        let (reason, result, size) = (self.reason, self.result.get(), self.size.get());
        let metrics = &self.state.metrics;
        metrics.record_registry_read(result);
        metrics.record_registry_bytes(size, reason.label());
        let is_usual = matches!(reason, ReadReason::Reader | ReadReason::Start);
        if is_usual && result == "ok" && size.0 < LARGE_READ_BYTES {
            return;
        }
        let elapsed = self.state.clock.now() - self.started_at;
        let text =
            |age: Option<ClockTime>| age.map_or_else(|| "-".to_owned(), |age| age.to_string());
        let (age, config_age) = (text(self.age), text(self.config_age));
        log::info!(
            "event=registry_read reason={reason} result={result} bytes={size} elapsed={elapsed} \
             view_age={age} config_age={config_age}"
        );
    }
}
