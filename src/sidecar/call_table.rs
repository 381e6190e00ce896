use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use futures_channel::oneshot;
use futures_util::future::{FutureExt, Shared};

use crate::clock::ClockTime;
use crate::sidecar::call_id::CallId;
use crate::sidecar::forward_message::ForwardResponse;

/// Retention time of a call after its deadline, so that a sender that lost its connection can still
/// request the result.
const RESULT_RETENTION: ClockTime = ClockTime(2_000);

/// State of one non-idempotent call.
pub(crate) struct CallRecord {
    response: Shared<oneshot::Receiver<ForwardResponse>>,
    response_sender: RefCell<Option<oneshot::Sender<ForwardResponse>>>,
    started: Cell<bool>,
    cancel_sender: RefCell<Option<oneshot::Sender<()>>>,
}

impl CallRecord {
    /// Waits for the response; returns `None` if the call was cancelled before it started.
    pub(crate) async fn wait(&self) -> Option<ForwardResponse> {
        self.response.clone().await.ok()
    }

    pub(crate) fn finish(&self, response: ForwardResponse) {
        if let Some(sender) = self.response_sender.borrow_mut().take() {
            // The record holds a receiver, so the response is retained even if no task is waiting
            // for it.
            let _ = sender.send(response);
        }
    }

    /// Marks the call as started: the endpoint may receive the request from now on.
    pub(crate) fn start(&self) {
        self.started.set(true);
    }

    pub(crate) fn is_started(&self) -> bool {
        self.started.get()
    }

    /// Cancels the call if it has not started.
    pub(crate) fn cancel(&self) {
        if !self.started.get() {
            self.cancel_sender.borrow_mut().take();
            self.response_sender.borrow_mut().take();
        }
    }
}

/// Table of the non-idempotent calls, each retained until its sender can no longer request the
/// result.
#[derive(Default)]
pub(crate) struct CallTable {
    calls: RefCell<HashMap<CallId, Rc<CallRecord>>>,
    expiry: RefCell<VecDeque<(ClockTime, CallId)>>,
}

impl CallTable {
    /// Returns a call by its identifier.
    pub(crate) fn get(&self, id: CallId) -> Option<Rc<CallRecord>> {
        self.calls.borrow().get(&id).cloned()
    }

    /// Adds a call; returns it together with the receiver of its cancellation.
    pub(crate) fn insert(
        &self,
        now: ClockTime,
        id: CallId,
        deadline: ClockTime,
    ) -> (Rc<CallRecord>, oneshot::Receiver<()>) {
        self.expire(now);
        let (response_sender, response) = oneshot::channel();
        let (cancel_sender, cancelled) = oneshot::channel();
        let record = Rc::new(CallRecord {
            response: response.shared(),
            response_sender: RefCell::new(Some(response_sender)),
            started: Cell::new(false),
            cancel_sender: RefCell::new(Some(cancel_sender)),
        });
        self.calls.borrow_mut().insert(id, Rc::clone(&record));
        let mut expiry = self.expiry.borrow_mut();
        expiry.push_back((deadline + RESULT_RETENTION, id));
        (record, cancelled)
    }

    /// Adds a cancelled call, so that the request is refused if it arrives later.
    pub(crate) fn fence(&self, now: ClockTime, id: CallId, deadline: ClockTime) {
        let (record, _) = self.insert(now, id, deadline);
        record.cancel();
    }

    fn expire(&self, now: ClockTime) {
        let mut expiry = self.expiry.borrow_mut();
        let mut calls = self.calls.borrow_mut();
        while let Some((time, id)) = expiry.front().copied() {
            if time > now {
                return;
            }
            calls.remove(&id);
            expiry.pop_front();
        }
    }
}
