//! HTTP/1.1 towards operators: health, readiness, metrics, status, explain and burn report.
