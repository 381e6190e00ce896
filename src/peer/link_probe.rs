use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use h2::{Ping, PingPong};
use monoio::time::{self, Sleep};

use crate::peer::KeepaliveConfig;

/// Finds silent connections by h2 PING frames.
///
/// Time is counted in ticks that are armed one after the other, so that a pause of the whole
/// process counts as one tick and does not make a live connection look silent.
pub(crate) struct LinkProbe {
    ping: PingPong,
    tick: Pin<Box<Sleep>>,
    config: KeepaliveConfig,
    count: u32,
    waiting: bool,
}

impl LinkProbe {
    /// Creates a probe that follows a config.
    pub(crate) fn new(ping: PingPong, config: KeepaliveConfig) -> Self {
        Self {
            ping,
            tick: Box::pin(time::sleep(config.tick)),
            config,
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

    /// Returns whether a PING has been unanswered for at least one tick.
    pub(crate) fn is_overdue(&self) -> bool {
        self.waiting && self.count > 0
    }

    /// Completes when the connection is silent; sends PINGs at the idle interval while `active` is
    /// false.
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
            let interval = if active {
                Some(self.config.active_interval_ticks)
            } else {
                self.config.idle_interval_ticks
            };
            if interval.is_none() && !self.waiting {
                return Poll::Pending;
            }
            if self.tick.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            self.tick = Box::pin(time::sleep(self.config.tick));
            self.count += 1;
            if self.waiting && self.count >= self.config.timeout_ticks {
                return Poll::Ready(());
            }
            if !self.waiting && interval.is_some_and(|interval| self.count >= interval) {
                self.start();
                self.count = 0;
            }
        }
    }
}
