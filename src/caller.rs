//! HTTP/1.1 towards callers.
