use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use futures_channel::oneshot;
use monoio::time;

use crate::admission::{Admission, AdmissionPolicy, AdmissionRequest, CancelOutcome, RefusedCall};
use crate::clock::{ClockTime, SystemClock};
use crate::error::ResultCode;
use crate::id::KindName;
use crate::metrics::NodeMetrics;

/// Interval between checks of the queue for expired calls while the next expiry is unknown.
const EXPIRY_CHECK_INTERVAL: ClockTime = ClockTime(20);

/// Concurrency limit of the local backend server: each running call holds one slot.
#[derive(Clone)]
pub(crate) struct SlotLimiter {
    state: Rc<LimiterState>,
}

/// State shared by all clones of a [`SlotLimiter`].
struct LimiterState {
    clock: SystemClock,
    metrics: Rc<NodeMetrics>,
    policy: RefCell<Box<dyn AdmissionPolicy>>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<SlotGrant>>>,
    next_id: Cell<u64>,
    running: Cell<usize>,
}

/// Result that is sent to a queued call.
type SlotGrant = Result<(), SlotRefusal>;

/// The reason why a call was refused a slot. The call has not run.
#[derive(Debug, Clone)]
pub(crate) struct SlotRefusal {
    pub(crate) code: ResultCode,
    /// Time after which the call may be retried.
    pub(crate) retry_after: ClockTime,
}

impl SlotLimiter {
    pub(crate) fn new(
        clock: SystemClock,
        policy: Box<dyn AdmissionPolicy>,
        metrics: Rc<NodeMetrics>,
    ) -> Self {
        Self {
            state: Rc::new(LimiterState {
                clock,
                metrics,
                policy: RefCell::new(policy),
                waiting: RefCell::default(),
                next_id: Cell::new(1),
                running: Cell::new(0),
            }),
        }
    }

    /// Waits for a slot and records the queueing time. Dropping the future removes the call from
    /// the queue.
    pub(crate) async fn acquire(
        &self,
        kind: KindName,
        weight: u32,
        long: bool,
        deadline: ClockTime,
    ) -> Result<SlotGuard, SlotRefusal> {
        let id = self.state.next_id.get();
        self.state.next_id.set(id + 1);
        let now = self.state.clock.now();
        let wait_started_ms = self.state.clock.elapsed_ms();
        let request = AdmissionRequest {
            id,
            kind: kind.clone(),
            weight,
            long,
            deadline,
        };
        let admission = self.state.policy.borrow_mut().offer(now, request);
        let guard = match admission {
            Admission::Run => self.guard(id),
            Admission::Refused { code, retry_after } => {
                return Err(SlotRefusal { code, retry_after });
            }
            Admission::Queued { dropped } => {
                let (sender, receiver) = oneshot::channel();
                self.state.waiting.borrow_mut().insert(id, sender);
                self.state.refuse(dropped);
                self.wait(id, receiver).await?
            }
        };
        let wait_ms = self.state.clock.elapsed_ms() - wait_started_ms;
        self.state.metrics.record_queue_wait(&kind, long, wait_ms);
        Ok(guard)
    }

    /// Returns the number of running and queued calls per slot, in thousandths.
    pub(crate) fn load(&self) -> u32 {
        self.state.policy.borrow().load()
    }

    /// Returns the numbers of running and of queued calls.
    pub(crate) fn counts(&self) -> (usize, usize) {
        (self.state.running.get(), self.state.waiting.borrow().len())
    }

    /// Returns whether no call is running or queued.
    pub(crate) fn is_idle(&self) -> bool {
        self.state.policy.borrow().is_idle()
    }

    /// Sets the number of slots and starts queued calls that fit.
    pub(crate) fn resize(&self, slots: crate::size::SlotCount) {
        let now = self.state.clock.now();
        let next = self.state.policy.borrow_mut().resize(now, slots);
        self.state.grant(&next);
    }

    fn guard(&self, id: u64) -> SlotGuard {
        self.state.running.set(self.state.running.get() + 1);
        SlotGuard {
            limiter: self.clone(),
            id,
            slot_ms: Cell::new(None),
        }
    }

    async fn wait(
        &self,
        id: u64,
        mut receiver: oneshot::Receiver<SlotGrant>,
    ) -> Result<SlotGuard, SlotRefusal> {
        let mut queue_guard = QueueGuard {
            limiter: self,
            id,
            dequeued: false,
        };
        loop {
            let now = self.state.clock.now();
            let expiry = self.state.policy.borrow().next_expiry(now);
            let wait = expiry.map_or(EXPIRY_CHECK_INTERVAL, |expiry| {
                (expiry - now).max(ClockTime(1))
            });
            match time::timeout(wait.to_duration(), &mut receiver).await {
                Ok(Ok(Ok(()))) => {
                    queue_guard.dequeued = true;
                    return Ok(self.guard(id));
                }
                Ok(Ok(Err(refusal))) => {
                    queue_guard.dequeued = true;
                    return Err(refusal);
                }
                Ok(Err(_)) => {
                    return Err(SlotRefusal {
                        code: ResultCode::NodeLeaving,
                        retry_after: ClockTime(0),
                    });
                }
                Err(_) => {
                    let now = self.state.clock.now();
                    let expired = self.state.policy.borrow_mut().expire(now);
                    self.state.refuse(expired);
                }
            }
        }
    }
}

impl LimiterState {
    fn refuse<Calls>(&self, calls: Calls)
    where
        Calls: IntoIterator<Item = RefusedCall>,
    {
        for call in calls {
            if let Some(sender) = self.waiting.borrow_mut().remove(&call.id) {
                let refusal = SlotRefusal {
                    code: call.code,
                    retry_after: call.retry_after,
                };
                let _ = sender.send(Err(refusal));
            }
        }
    }

    fn grant(&self, ids: &[u64]) {
        for id in ids {
            let sender = self.waiting.borrow_mut().remove(id);
            let delivered = sender.is_some_and(|sender| sender.send(Ok(())).is_ok());
            if !delivered {
                // The call was dropped after the policy had assigned it the slot.
                self.release(*id, None);
            }
        }
    }

    fn release(&self, id: u64, slot_ms: Option<f64>) {
        let now = self.clock.now();
        let (next, expired) = {
            let mut policy = self.policy.borrow_mut();
            let expired = policy.expire(now);
            (policy.finish(now, id, slot_ms), expired)
        };
        self.refuse(expired);
        self.grant(&next);
    }
}

/// Guard that removes a call from the queue when its future is dropped.
struct QueueGuard<'a> {
    limiter: &'a SlotLimiter,
    id: u64,
    dequeued: bool,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if self.dequeued {
            return;
        }
        let state = &self.limiter.state;
        state.waiting.borrow_mut().remove(&self.id);
        if state.policy.borrow_mut().cancel(self.id) == CancelOutcome::Running {
            state.release(self.id, None);
        }
    }
}

/// Guard of one slot, which is released on drop.
pub(crate) struct SlotGuard {
    limiter: SlotLimiter,
    id: u64,
    slot_ms: Cell<Option<f64>>,
}

impl SlotGuard {
    /// Records for how long the backend server was busy with the call.
    pub(crate) fn finish(&self, slot_ms: f64) {
        self.slot_ms.set(Some(slot_ms));
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let state = &self.limiter.state;
        state.running.set(state.running.get() - 1);
        state.release(self.id, self.slot_ms.get());
    }
}
