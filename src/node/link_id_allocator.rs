use std::cell::Cell;

/// Allocator of the identifiers of a node's control links, starting at 1.
#[derive(Debug, Default)]
pub(crate) struct LinkIdAllocator(Cell<u64>);

impl LinkIdAllocator {
    pub(crate) fn next(&self) -> u64 {
        self.0.set(self.0.get() + 1);
        self.0.get()
    }
}
