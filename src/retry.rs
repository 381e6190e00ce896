//! Retry budget and hedging policy.
