use std::collections::HashMap;
use std::net::IpAddr;

use smallvec::SmallVec;

use crate::clock::ClockTime;

/// Time, in refresh intervals, after which a new child that has not requested a view is introduced.
const NEW_CHILD_INTERVALS: u64 = 2;
/// Time, in refresh intervals, after which a child that has stopped requesting views is introduced.
const SILENT_CHILD_INTERVALS: u64 = 4;
/// Introductions of one child in a row. They last longer than a fleet takes to start.
const MAX_INTRODUCTION_COUNT: u32 = 8;
/// Age of a view, in half refresh intervals, below which another node refreshes it.
const FRESH_HALF_INTERVALS: u64 = 3;

/// What a parent knows of a child.
#[derive(Debug, Clone, Copy)]
struct ChildEntry {
    /// Time at which an introduction is due.
    due: ClockTime,
    /// Introductions since the last request of the child.
    introductions: u32,
}

/// The children of a node in the distribution trees, and when they are introduced to it.
///
/// In a calm fleet each node requests the view of one of its two parents, and the other one introduces
/// itself once; the child then responds that its view is fresh.
#[derive(Debug, Default)]
pub struct ChildTable {
    children: HashMap<IpAddr, ChildEntry>,
}

impl ChildTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a child has requested the view.
    pub fn record_request(&mut self, now: ClockTime, interval: ClockTime, child: IpAddr) {
        if let Some(entry) = self.children.get_mut(&child) {
            entry.due = now + ClockTime(interval.0 * SILENT_CHILD_INTERVALS);
            entry.introductions = 0;
        }
    }

    /// Records the age of the view of a child, which it sent in response to an introduction.
    pub fn record_reply(&mut self, interval: ClockTime, child: IpAddr, age: Option<ClockTime>) {
        let fresh = ClockTime(interval.0 * FRESH_HALF_INTERVALS / 2);
        if let Some(entry) = self.children.get_mut(&child)
            && age.is_some_and(|age| age < fresh)
        {
            entry.introductions = MAX_INTRODUCTION_COUNT;
        }
    }

    /// Replaces the children, and returns those to which the node introduces itself now.
    pub fn due<Children>(
        &mut self,
        now: ClockTime,
        interval: ClockTime,
        children: Children,
    ) -> SmallVec<[IpAddr; 4]>
    where
        Children: IntoIterator<Item = IpAddr>,
    {
        let mut known = std::mem::take(&mut self.children);
        let mut due = SmallVec::new();
        let pause = ClockTime(interval.0 * NEW_CHILD_INTERVALS);
        for child in children {
            let mut entry = known.remove(&child).unwrap_or(ChildEntry {
                due: now + pause,
                introductions: 0,
            });
            if entry.due <= now && entry.introductions < MAX_INTRODUCTION_COUNT {
                entry.introductions += 1;
                entry.due = now + pause;
                due.push(child);
            }
            self.children.insert(child, entry);
        }
        due
    }
}
