use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs a test to its end on an event loop of its thread.
pub fn block_on<Task>(task: Task) -> Task::Output
where
    Task: Future,
{
    RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap()
        .block_on(task)
}
