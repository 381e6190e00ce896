//! The node: wiring of all parts, drain and join of every task.
