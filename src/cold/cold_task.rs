use std::pin::pin;
use std::rc::Rc;

use futures_util::future::{self, Either};
use futures_util::stream::StreamExt;
use monoio::time;

use crate::backend::HttpClient;
use crate::caller::StopSignal;
use crate::clock::ClockTime;
use crate::cold::ColdRoom;
use crate::rate_limit::ArrivalPacer;
use crate::sidecar::HeaderNames;
use crate::sidecar::slot_semaphore::SlotSemaphore;

/// Time limit for a health response. The check waits for a slot like any request.
const PROBE_TIMEOUT: ClockTime = ClockTime(1_000);
/// Time until a failed probe is repeated.
const PROBE_INTERVAL: ClockTime = ClockTime(250);

/// Task that settles whether the local endpoint is cold, and starts requests that wait for room at a cold or
/// limited endpoint.
pub(crate) struct ColdTask {
    pub(crate) room: Rc<ColdRoom>,
    pub(crate) pacer: Rc<ArrivalPacer>,
    pub(crate) slots: Rc<SlotSemaphore>,
    pub(crate) client: HttpClient,
    pub(crate) headers: HeaderNames,
}

impl ColdTask {
    /// Runs until the stop signal is given.
    pub(crate) async fn run(self, stop: StopSignal) {
        let running = pin!(self.run_loop());
        let stopped = pin!(stop.wait());
        match future::select(running, stopped).await {
            Either::Left(_) | Either::Right(_) => {}
        }
    }

    async fn run_loop(&self) {
        let Some(mut waiter) = self.room.take_waiter() else {
            return;
        };
        let releasing = async {
            loop {
                let pause = self.slots.release_due();
                let woken = waiter.next();
                match pause {
                    Some(pause) => {
                        let pause = pin!(time::sleep(pause.to_duration()));
                        match future::select(woken, pause).await {
                            Either::Left(_) | Either::Right(_) => {}
                        }
                    }
                    None => {
                        woken.await;
                    }
                }
            }
        };
        let probing = async {
            loop {
                if let Some(path) = self.room.probe_path() {
                    self.probe(&path).await;
                }
                time::sleep(PROBE_INTERVAL.to_duration()).await;
            }
        };
        match future::select(pin!(releasing), pin!(probing)).await {
            Either::Left(_) | Either::Right(_) => {}
        }
    }

    /// Sends a health check and records the remaining cold time.
    async fn probe(&self, path: &str) {
        self.pacer.record_send();
        let response = match self.client.get_from_platform(path, PROBE_TIMEOUT).await {
            Ok(response) => response,
            Err(error) => {
                log::info!("event=cold_probe_failed cause=\"{error}\"");
                return;
            }
        };
        let names = &self.headers;
        if !response.headers().contains_key(&names.responding_endpoint) {
            log::info!(
                "event=cold_probe_failed cause=\"status {} without the name of an endpoint\"",
                response.status()
            );
            return;
        }
        let remaining = response
            .headers()
            .get(&names.cold_remaining)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.trim().parse().ok());
        self.room.record_health(ClockTime(remaining.unwrap_or(0)));
        self.room.wake();
    }
}
