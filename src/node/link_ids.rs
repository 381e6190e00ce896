use std::cell::Cell;

/// Numbers the links of a node.
#[derive(Debug, Default)]
pub(crate) struct LinkIds(Cell<u64>);

impl LinkIds {
    pub(crate) fn next(&self) -> u64 {
        self.0.set(self.0.get() + 1);
        self.0.get()
    }
}
