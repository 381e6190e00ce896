//! Service-level objectives, error budgets and burn rates.
