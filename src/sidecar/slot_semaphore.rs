use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use futures_channel::oneshot;
use monoio::time;

use crate::clock::{ClockTime, SystemClock};
use crate::sidecar::forward_message::LoadReport;
use crate::sidecar::{SlotDecision, SlotQueue, SlotTicket, SlotUrgency};

/// Hands the slots of the endpoint to requests, which wait as futures.
pub(crate) struct SlotSemaphore {
    clock: SystemClock,
    queue: RefCell<SlotQueue>,
    senders: RefCell<BTreeMap<SlotTicket, oneshot::Sender<()>>>,
    /// Number of the requests that run, and the sum of their start times in ms.
    running: Cell<(u32, u64)>,
}

/// States why a request got no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SlotRefusal {
    /// The expected wait is too long.
    Busy(ClockTime),
    /// The time of the request ended while it waited.
    Expired,
    /// All waiting requests were turned away.
    Closed,
}

impl SlotSemaphore {
    pub(crate) fn new(clock: SystemClock, capacity: usize) -> Rc<Self> {
        Rc::new(Self {
            clock,
            queue: RefCell::new(SlotQueue::new(capacity)),
            senders: RefCell::default(),
            running: Cell::new((0, 0)),
        })
    }

    pub(crate) fn set_capacity(&self, capacity: usize) {
        if self.queue.borrow_mut().set_capacity(capacity) {
            self.start_next();
        }
    }

    pub(crate) fn load(&self) -> LoadReport {
        self.note_age();
        let queue = self.queue.borrow();
        LoadReport {
            outstanding: queue.outstanding() as u32,
            capacity: queue.capacity() as u32,
            hold: queue.hold() as f32,
        }
    }

    /// Turns away all that wait.
    pub(crate) fn reject_waiting(&self) {
        let senders = self.senders.take();
        let mut queue = self.queue.borrow_mut();
        for ticket in senders.keys() {
            queue.cancel(*ticket);
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// A refusal; the request then holds nothing.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        urgency: SlotUrgency,
        patience: ClockTime,
        deadline: ClockTime,
    ) -> Result<SlotPermit, SlotRefusal> {
        self.note_age();
        let now = self.clock.now();
        let decision = self
            .queue
            .borrow_mut()
            .offer(now, urgency, patience, deadline);
        let ticket = match decision {
            SlotDecision::Run => return Ok(SlotPermit::new(self)),
            SlotDecision::Refuse(wait) => return Err(SlotRefusal::Busy(wait)),
            SlotDecision::Wait(ticket) => ticket,
        };
        let (sender, receiver) = oneshot::channel();
        self.senders.borrow_mut().insert(ticket, sender);
        let mut place = QueuePlace {
            gate: self,
            ticket,
            receiver,
        };
        let left = (deadline - now).to_duration();
        match time::timeout(left, &mut place.receiver).await {
            Ok(Ok(())) => Ok(SlotPermit::new(self)),
            Ok(Err(_)) if self.clock.now() < deadline => Err(SlotRefusal::Closed),
            _ => Err(SlotRefusal::Expired),
        }
    }

    fn note_age(&self) {
        let (count, starts) = self.running.get();
        let now = self.clock.now().0 * u64::from(count);
        let age = now.saturating_sub(starts) as f64 / f64::from(count.max(1));
        self.queue.borrow_mut().note_age(age);
    }

    fn start_next(&self) {
        loop {
            let now = self.clock.now();
            let Some(ticket) = self.queue.borrow_mut().next(now) else {
                return;
            };
            let sender = self.senders.borrow_mut().remove(&ticket);
            let taken = sender.is_some_and(|sender| sender.send(()).is_ok());
            if !taken {
                self.queue.borrow_mut().release();
            }
        }
    }
}

/// Gives up the place in the queue when the request is dropped.
struct QueuePlace<'a> {
    gate: &'a Rc<SlotSemaphore>,
    ticket: SlotTicket,
    receiver: oneshot::Receiver<()>,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.gate.senders.borrow_mut().remove(&self.ticket);
        self.gate.queue.borrow_mut().cancel(self.ticket);
        // A slot that was granted and not taken goes to the next request.
        if matches!(self.receiver.try_recv(), Ok(Some(()))) {
            self.gate.queue.borrow_mut().release();
            self.gate.start_next();
        }
    }
}

/// Holds one slot until it is dropped.
pub(crate) struct SlotPermit {
    gate: Rc<SlotSemaphore>,
    since: ClockTime,
    used: bool,
}

impl SlotPermit {
    fn new(gate: &Rc<SlotSemaphore>) -> Self {
        let since = gate.clock.now();
        let (count, starts) = gate.running.get();
        gate.running.set((count + 1, starts + since.0));
        Self {
            gate: Rc::clone(gate),
            since,
            used: false,
        }
    }

    /// Records that the endpoint worked on the request, so that its hold time counts.
    pub(crate) fn mark_used(&mut self) {
        self.used = true;
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let held = self.gate.clock.now() - self.since;
        let (count, starts) = self.gate.running.get();
        self.gate.running.set((count - 1, starts - self.since.0));
        {
            let mut queue = self.gate.queue.borrow_mut();
            if self.used {
                queue.finish(held);
            } else {
                queue.release();
            }
        }
        self.gate.start_next();
    }
}
