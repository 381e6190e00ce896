use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use futures_channel::oneshot;
use monoio::time;

use crate::clock::{ClockTime, SystemClock};
use crate::homes::ScarcityMeter;
use crate::rate_limit::ArrivalPacer;
use crate::routing::EndpointSpeed;
use crate::sidecar::forward_message::LoadReport;
use crate::sidecar::{SlotDecision, SlotPace, SlotQueue, SlotTicket, SlotUrgency};

/// Asynchronous semaphore over the slots of the endpoint.
pub(crate) struct SlotSemaphore {
    clock: SystemClock,
    pacer: Rc<ArrivalPacer>,
    pub(crate) speed: RefCell<EndpointSpeed>,
    pub(crate) scarcity: RefCell<ScarcityMeter>,
    displaced_count: Cell<u64>,
    queue: RefCell<SlotQueue>,
    waiters: RefCell<BTreeMap<SlotTicket, oneshot::Sender<SlotGrant>>>,
    /// Number of running requests and the sum of their start times in ms.
    running: Cell<(u32, u64)>,
}

/// What a queued request is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlotGrant {
    /// It holds a slot.
    Granted,
    /// It was turned away for others; a slot would have taken this long.
    Displaced(ClockTime),
}

/// Reason why [`SlotSemaphore::acquire`] did not grant a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AcquireError {
    /// The expected wait, given here, exceeds the limit of the request.
    Busy(ClockTime),
    /// The deadline passed while the request was queued.
    Expired,
    /// All queued requests were rejected.
    Closed,
}

impl SlotSemaphore {
    pub(crate) fn new(clock: SystemClock, capacity: usize, pacer: Rc<ArrivalPacer>) -> Rc<Self> {
        Rc::new(Self {
            clock,
            pacer,
            speed: RefCell::default(),
            scarcity: RefCell::default(),
            displaced_count: Cell::new(0),
            queue: RefCell::new(SlotQueue::new(capacity)),
            waiters: RefCell::default(),
            running: Cell::new((0, 0)),
        })
    }

    pub(crate) fn set_capacity(&self, capacity: usize) {
        if self.queue.borrow_mut().set_capacity(capacity) {
            self.admit_waiting();
        }
    }

    /// Returns the current load of the endpoint.
    pub(crate) fn load(&self) -> LoadReport {
        self.record_running_age();
        self.update_pace();
        let queue = self.queue.borrow();
        let now = self.clock.now();
        LoadReport {
            pace: self.pacer.pace().unwrap_or(0.0) as f32,
            pace_wait_ms: queue.pace_wait_ms(now) as f32,
            limit: self.pacer.report(),
            outstanding: queue.outstanding() as u32,
            capacity: queue.sustained_capacity() as u32,
            mean_hold_ms: queue.mean_hold_ms() as f32,
            slowness: self.speed.borrow().slowness(now) as f32,
            scarcity: self.scarcity.borrow().scarcity(now) as f32,
        }
    }

    /// Rejects all queued requests.
    pub(crate) fn reject_waiting(&self) {
        let waiters = self.waiters.take();
        let mut queue = self.queue.borrow_mut();
        for ticket in waiters.keys() {
            queue.cancel(*ticket);
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns the reason if no slot was granted.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        urgency: SlotUrgency,
        max_wait: ClockTime,
        deadline: ClockTime,
    ) -> Result<SlotPermit, AcquireError> {
        self.record_running_age();
        self.update_pace();
        let now = self.clock.now();
        let decision = self
            .queue
            .borrow_mut()
            .request(now, urgency, max_wait, deadline);
        self.refuse_displaced();
        let ticket = match decision {
            SlotDecision::Run => {
                self.pacer.record_send();
                return Ok(SlotPermit::new(self));
            }
            SlotDecision::Refuse(wait) => return Err(AcquireError::Busy(wait)),
            SlotDecision::Wait(ticket) => ticket,
        };
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, sender);
        if self.pacer.pace().is_some() {
            self.pacer.wake();
        }
        let mut waiter = QueuedWaiter {
            semaphore: self,
            ticket,
            receiver,
        };
        let left = (deadline - now).to_duration();
        match time::timeout(left, &mut waiter.receiver).await {
            Ok(Ok(SlotGrant::Granted)) => Ok(SlotPermit::new(self)),
            Ok(Ok(SlotGrant::Displaced(wait))) => Err(AcquireError::Busy(wait)),
            Ok(Err(_)) if self.clock.now() < deadline => Err(AcquireError::Closed),
            _ => Err(AcquireError::Expired),
        }
    }

    fn record_running_age(&self) {
        let (count, starts) = self.running.get();
        let now = self.clock.now().0 * u64::from(count);
        let age = now.saturating_sub(starts) as f64 / f64::from(count.max(1));
        self.queue.borrow_mut().record_running_age(age);
    }

    /// Refuses the queued requests that were turned away for others.
    fn refuse_displaced(&self) {
        let displaced = self.queue.borrow_mut().take_displaced();
        for (ticket, wait) in displaced {
            self.displaced_count.set(self.displaced_count.get() + 1);
            if let Some(sender) = self.waiters.borrow_mut().remove(&ticket) {
                // A request that has ended needs no answer.
                let _ = sender.send(SlotGrant::Displaced(wait));
            }
        }
    }

    /// Returns the number of queued requests that were turned away for others.
    pub(crate) fn displaced_count(&self) -> u64 {
        self.displaced_count.get()
    }

    /// Starts the queued requests for which a cold or limited endpoint has room; returns the time until there
    /// is room for the next one, if any waits for it.
    pub(crate) fn release_due(&self) -> Option<ClockTime> {
        self.admit_waiting();
        let has_waiting = self.queue.borrow().has_waiting();
        let pause = self.pacer.opens_at() - self.clock.now();
        (has_waiting && pause > ClockTime(0)).then_some(pause)
    }

    /// Applies the rate to which a cold or limited endpoint limits its requests.
    fn update_pace(&self) {
        let pace = SlotPace {
            rate: self.pacer.pace(),
            opens_at: self.pacer.opens_at(),
        };
        self.queue.borrow_mut().set_pace(pace);
    }

    fn admit_waiting(&self) {
        loop {
            let now = self.clock.now();
            self.update_pace();
            let Some(ticket) = self.queue.borrow_mut().admit_next(now) else {
                return;
            };
            let sender = self.waiters.borrow_mut().remove(&ticket);
            let taken = sender.is_some_and(|sender| sender.send(SlotGrant::Granted).is_ok());
            if taken {
                self.pacer.record_send();
            } else {
                self.queue.borrow_mut().release();
            }
        }
    }
}

/// Guard that removes a request from the queue when dropped.
struct QueuedWaiter<'a> {
    semaphore: &'a Rc<SlotSemaphore>,
    ticket: SlotTicket,
    receiver: oneshot::Receiver<SlotGrant>,
}

impl Drop for QueuedWaiter<'_> {
    fn drop(&mut self) {
        self.semaphore.waiters.borrow_mut().remove(&self.ticket);
        self.semaphore.queue.borrow_mut().cancel(self.ticket);
        // A slot that was granted but not taken goes to the next request.
        if matches!(self.receiver.try_recv(), Ok(Some(SlotGrant::Granted))) {
            self.semaphore.queue.borrow_mut().release();
            self.semaphore.admit_waiting();
        }
    }
}

/// Permit for one slot, released on drop.
pub(crate) struct SlotPermit {
    semaphore: Rc<SlotSemaphore>,
    since: ClockTime,
    used: bool,
}

impl SlotPermit {
    fn new(semaphore: &Rc<SlotSemaphore>) -> Self {
        let since = semaphore.clock.now();
        let (count, starts) = semaphore.running.get();
        semaphore.running.set((count + 1, starts + since.0));
        Self {
            semaphore: Rc::clone(semaphore),
            since,
            used: false,
        }
    }

    /// Records that the endpoint ran the request, so that its hold time is included in the mean.
    pub(crate) fn mark_used(&mut self) {
        self.used = true;
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let held = self.semaphore.clock.now() - self.since;
        let (count, starts) = self.semaphore.running.get();
        self.semaphore
            .running
            .set((count - 1, starts - self.since.0));
        {
            let mut queue = self.semaphore.queue.borrow_mut();
            if self.used {
                queue.finish(held);
            } else {
                queue.release();
            }
        }
        self.semaphore.admit_waiting();
    }
}
