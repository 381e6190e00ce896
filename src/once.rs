//! At-most-once execution: idempotency keys, recorded answers and fences.
