use std::time::{Duration, Instant};

/// History of all published values; revisions are numbered from 1.
#[derive(Debug, Default)]
pub struct ValueHistory {
    values: Vec<(Instant, Vec<u8>)>,
}

impl ValueHistory {
    /// Adds a value and returns its revision.
    pub fn publish(&mut self, now: Instant, value: Vec<u8>) -> u64 {
        self.values.push((now, value));
        self.values.len() as u64
    }

    /// Returns the newest revision published at least `lag` ago, or 0 if there is none.
    #[must_use]
    pub fn visible_revision(&self, now: Instant, lag: Duration) -> u64 {
        let visible = |(published, _): &&(Instant, Vec<u8>)| *published + lag <= now;
        self.values.iter().take_while(visible).count() as u64
    }

    /// Returns the value of a revision.
    #[must_use]
    pub fn value(&self, revision: u64) -> Option<&[u8]> {
        let index = usize::try_from(revision).ok()?.checked_sub(1)?;
        self.values.get(index).map(|(_, value)| value.as_slice())
    }
}
