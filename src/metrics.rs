//! Metric instruments and their text exposition.
