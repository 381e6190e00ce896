use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs a test future to completion on an event loop in the current thread.
pub fn block_on<Test>(test: Test) -> Test::Output
where
    Test: Future,
{
    RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap()
        .block_on(test)
}
