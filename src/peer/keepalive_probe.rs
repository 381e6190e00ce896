use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use h2::{Ping, PingPong};
use monoio::time::{self, Sleep};

use crate::peer::KeepaliveConfig;

/// Detector of unresponsive connections that sends HTTP/2 PING frames.
///
/// Time is counted in ticks, each armed after the previous one has fired. A pause of the whole
/// process therefore counts as one tick and does not make a live connection look unresponsive.
pub(crate) struct KeepaliveProbe {
    ping_pong: PingPong,
    tick: Pin<Box<Sleep>>,
    config: KeepaliveConfig,
    ticks: u32,
    ping_pending: bool,
}

impl KeepaliveProbe {
    pub(crate) fn new(ping_pong: PingPong, config: KeepaliveConfig) -> Self {
        Self {
            ping_pong,
            tick: Box::pin(time::sleep(config.tick)),
            config,
            ticks: 0,
            ping_pending: false,
        }
    }

    /// Sends a PING.
    pub(crate) fn send_ping(&mut self) {
        self.ping_pending = self.ping_pong.send_ping(Ping::opaque()).is_ok();
    }

    /// Returns whether a PING awaits its acknowledgement.
    pub(crate) fn is_ping_pending(&self) -> bool {
        self.ping_pending
    }

    /// Returns whether a PING has not been acknowledged for at least one tick.
    pub(crate) fn is_ping_overdue(&self) -> bool {
        self.ping_pending && self.ticks > 0
    }

    /// Sends PINGs as they become due; completes when one fails or is not acknowledged in time.
    ///
    /// While `active` is false, PINGs are sent at the idle interval. The connection must be polled
    /// first, so that acknowledgements that have already arrived are processed.
    pub(crate) fn poll_timeout(&mut self, context: &mut Context<'_>, active: bool) -> Poll<()> {
        loop {
            if self.ping_pending {
                match self.ping_pong.poll_pong(context) {
                    Poll::Ready(Ok(_)) => {
                        self.ping_pending = false;
                        self.ticks = 0;
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
            if interval.is_none() && !self.ping_pending {
                return Poll::Pending;
            }
            if self.tick.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            self.tick = Box::pin(time::sleep(self.config.tick));
            self.ticks += 1;
            if self.ping_pending && self.ticks >= self.config.timeout_ticks {
                return Poll::Ready(());
            }
            if !self.ping_pending && interval.is_some_and(|interval| self.ticks >= interval) {
                self.send_ping();
                self.ticks = 0;
            }
        }
    }
}
