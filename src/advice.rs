//! What endpoints say of themselves in their responses.

mod advice_recorder;

pub(crate) use advice_recorder::AdviceRecorder;
