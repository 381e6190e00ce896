use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use h2::{Ping, PingPong};
use monoio::time::{self, Sleep};

/// Finds silent connections by h2 PING frames.
///
/// Time is counted in ticks that are armed one after the other, so that a pause of the whole
/// process counts as one tick and does not make a live connection look silent.
pub(crate) struct LinkProbe {
    ping: PingPong,
    period: Duration,
    tick: Pin<Box<Sleep>>,
    interval: u32,
    limit: u32,
    count: u32,
    waiting: bool,
}

impl LinkProbe {
    /// Creates a probe that sends a PING after `interval` ticks and waits `limit` ticks for it.
    pub(crate) fn new(ping: PingPong, period: Duration, interval: u32, limit: u32) -> Self {
        Self {
            ping,
            period,
            tick: Box::pin(time::sleep(period)),
            interval,
            limit,
            count: 0,
            waiting: false,
        }
    }

    /// Sends the first PING at once.
    pub(crate) fn start(&mut self) {
        self.waiting = self.ping.send_ping(Ping::opaque()).is_ok();
    }

    /// Returns whether a PING is unanswered.
    pub(crate) fn is_waiting(&self) -> bool {
        self.waiting
    }

    /// Completes when the connection is silent; sends no new PING while `active` is false.
    ///
    /// The connection must be polled first, so that answers in the socket are seen.
    pub(crate) fn poll_silent(&mut self, context: &mut Context<'_>, active: bool) -> Poll<()> {
        loop {
            if self.waiting {
                match self.ping.poll_pong(context) {
                    Poll::Ready(Ok(_)) => {
                        self.waiting = false;
                        self.count = 0;
                    }
                    Poll::Ready(Err(_)) => return Poll::Ready(()),
                    Poll::Pending => {}
                }
            }
            if !active && !self.waiting {
                return Poll::Pending;
            }
            if self.tick.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            self.tick = Box::pin(time::sleep(self.period));
            self.count += 1;
            if self.waiting && self.count >= self.limit {
                return Poll::Ready(());
            }
            if !self.waiting && self.count >= self.interval {
                self.start();
                self.count = 0;
            }
        }
    }
}
