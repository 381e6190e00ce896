use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::future::{self, Either};
use futures_util::stream::{FuturesUnordered, StreamExt};
use monoio::time;
use rand::Rng;
use rand::seq::IteratorRandom;
use smallvec::SmallVec;

use crate::caller::StopSignal;
use crate::clock::ClockTime;
use crate::error::{Error, Result, ResultCode};
use crate::id::NodeAddress;
use crate::peer::PeerPool;
use crate::quarantine::NewsPace;
use crate::quarantine::quarantine_message::{
    MAX_ENTRY_COUNT, MAX_QUARANTINE_BYTES, QUARANTINE_PATH, QuarantineCodec, QuarantineMessage,
    QuarantineReply,
};
use crate::sidecar::SidecarSettings;
use crate::sidecar::node_state::NodeState;

/// Nodes of the own region that a node tells of news.
const NEAR_COUNT: usize = 3;
/// Nodes of other regions that all nodes of a region together tell of news, and of all that is quarantined in
/// one repair interval. The links between regions have little bandwidth.
const FAR_NEWS_COUNT: f64 = 4.0;
const FAR_REPAIR_COUNT: f64 = 1.0;
/// Interval at which a node tells another one what is quarantined, in case it has missed news.
const REPAIR_INTERVAL: ClockTime = ClockTime(1_000);
/// Time after its start in which a node asks others until one has answered.
const START_TIME: ClockTime = ClockTime(30_000);
const REPLY_TIMEOUT: ClockTime = ClockTime(250);

/// Task that tells other nodes which requests are suspected of crashing endpoints.
///
/// News spreads by gossip: each node to which it is new passes it on to a few others at random.
pub(crate) struct QuarantineTask {
    pub(crate) settings: Rc<SidecarSettings>,
    pub(crate) state: Rc<NodeState>,
    pub(crate) pool: Rc<PeerPool>,
}

impl QuarantineTask {
    /// Runs until the stop signal is given.
    pub(crate) async fn run(self, stop: StopSignal) {
        let running = pin!(self.run_loop());
        let stopped = pin!(stop.wait());
        match future::select(running, stopped).await {
            Either::Left(_) | Either::Right(_) => {}
        }
    }

    async fn run_loop(&self) {
        let quarantine = &self.state.quarantine;
        let Some(waiter) = quarantine.take_waiter() else {
            return;
        };
        let repairing = async {
            loop {
                time::sleep(REPAIR_INTERVAL.to_duration()).await;
                self.repair().await;
            }
        };
        match future::select(pin!(self.spread(waiter)), pin!(repairing)).await {
            Either::Left(_) | Either::Right(_) => {}
        }
    }

    /// Tells other nodes of news whenever there are any. Nodes that do not respond delay nothing.
    async fn spread(&self, mut waiter: mpsc::Receiver<()>) {
        let quarantine = &self.state.quarantine;
        let mut pace = NewsPace::default();
        let mut sends = FuturesUnordered::new();
        loop {
            let entries = quarantine.take_news(MAX_ENTRY_COUNT);
            let pause = if entries.is_empty() {
                None
            } else {
                let message = Rc::new(QuarantineMessage {
                    entries,
                    is_question: false,
                });
                for node in self.random_nodes(NEAR_COUNT, FAR_NEWS_COUNT) {
                    let message = Rc::clone(&message);
                    sends.push(async move { self.send(node, &message).await });
                }
                Some(pace.pause(self.state.clock.now()))
            };
            let due = pin!(async {
                match pause {
                    Some(pause) => time::sleep(pause.to_duration()).await,
                    None => return waiter.next().await.is_some(),
                }
                true
            });
            let sending = pin!(async {
                while sends.next().await.is_some() {}
                future::pending().await
            });
            let (Either::Left((is_open, _)) | Either::Right((is_open, _))) =
                future::select(due, sending).await;
            if !is_open {
                return;
            }
        }
    }

    async fn repair(&self) {
        let quarantine = &self.state.quarantine;
        quarantine.expire();
        let is_question = !quarantine.is_informed() && quarantine.uptime() < START_TIME;
        let entries = quarantine.quarantined_entries(MAX_ENTRY_COUNT);
        if entries.is_empty() && !is_question {
            return;
        }
        let message = QuarantineMessage {
            entries,
            is_question,
        };
        for node in self.random_nodes(1, FAR_REPAIR_COUNT) {
            self.send(node, &message).await;
        }
    }

    /// Returns random nodes of the own region, and maybe one of another region, so that all nodes of a region
    /// together choose `far_count` of these.
    fn random_nodes(&self, near_count: usize, far_count: f64) -> SmallVec<[IpAddr; 4]> {
        let regions = &self.settings.regions;
        let own = regions.get(&self.settings.zone);
        let own_ip = self.settings.endpoint.ip();
        let directory = self.state.directory.borrow();
        let mut random = rand::rng();
        let others = |is_near: bool| {
            let records = directory.records();
            let records = records.filter(move |record| {
                record.address.ip() != own_ip && (regions.get(&record.zone) == own) == is_near
            });
            records.map(|record| record.address.ip())
        };
        let region_size = others(true).count() + 1;
        let mut nodes: SmallVec<[IpAddr; 4]> =
            others(true).choose_multiple(&mut random, near_count).into();
        if random.random_bool((far_count / region_size as f64).min(1.0)) {
            nodes.extend(others(false).choose(&mut random));
        }
        nodes
    }

    async fn send(&self, node: IpAddr, message: &QuarantineMessage) {
        match self.exchange(node, message).await {
            Ok(reply) => {
                if message.is_question {
                    self.state.quarantine.record_informed();
                }
                self.state.quarantine.merge(reply.entries);
            }
            Err(error) => {
                log::info!("event=quarantine_not_sent node={node} cause=\"{error}\"");
            }
        }
    }

    async fn exchange(&self, node: IpAddr, message: &QuarantineMessage) -> Result<QuarantineReply> {
        let port = self.settings.peer_listen.port();
        let to = NodeAddress(SocketAddr::new(node, port));
        let head = QuarantineCodec::encode(message)?;
        let exchange = self.pool.request::<QuarantineReply, MAX_QUARANTINE_BYTES>(
            to,
            QUARANTINE_PATH,
            head,
            Bytes::new(),
        );
        let timeout = REPLY_TIMEOUT.to_duration();
        let (reply, _) = time::timeout(timeout, exchange).await.map_err(|_| {
            let message = format!("no reply within {REPLY_TIMEOUT}");
            Error::new(ResultCode::PeerUnreachable, message)
        })??;
        Ok(reply)
    }
}
