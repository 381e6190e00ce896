use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::{self, Either};
use monoio::time;

use crate::caller::StopSignal;
use crate::clock::ClockTime;
use crate::error::{Error, Result, ResultCode};
use crate::id::NodeAddress;
use crate::introduction::{INTRODUCTION_PATH, Introduction, IntroductionReply};
use crate::peer::PeerPool;
use crate::sidecar::SidecarSettings;
use crate::sidecar::node_state::NodeState;
use crate::sidecar::view_message::{VIEW_LIMIT, ViewCodec};
use crate::sidecar::view_trees::ViewTrees;

/// Time limit for one introduction.
const REPLY_TIMEOUT: ClockTime = ClockTime(250);
/// Age of the view, in refresh intervals, up to which other nodes gain by asking for it.
const MAX_AGE_INTERVALS: u64 = 2;

/// Task that introduces the node to children that do not request its view.
pub(crate) struct IntroductionTask {
    pub(crate) settings: Rc<SidecarSettings>,
    pub(crate) state: Rc<NodeState>,
    pub(crate) pool: Rc<PeerPool>,
    pub(crate) trees: RefCell<ViewTrees>,
}

impl IntroductionTask {
    /// Runs until the stop signal is given.
    pub(crate) async fn run(self, stop: StopSignal) {
        let running = pin!(self.run_loop());
        let stopped = pin!(stop.wait());
        match future::select(running, stopped).await {
            Either::Left(_) | Either::Right(_) => {}
        }
    }

    async fn run_loop(&self) {
        loop {
            let interval = self.state.bounds().refresh_interval();
            time::sleep(interval.to_duration()).await;
            let max_age = ClockTime(interval.0 * MAX_AGE_INTERVALS);
            let Some(age) = self.state.age().filter(|age| *age < max_age) else {
                continue;
            };
            let introductions = self
                .due_children(interval)
                .into_iter()
                .map(|child| self.introduce(child, interval, age));
            future::join_all(introductions).await;
        }
    }

    fn due_children(&self, interval: ClockTime) -> Vec<IpAddr> {
        let mut trees = self.trees.borrow_mut();
        let neighbors = trees.neighbors(
            &self.state.directory.borrow(),
            &self.settings.regions,
            &self.settings.zone,
            self.settings.endpoint.ip(),
        );
        let children = neighbors.children.iter().copied();
        let now = self.state.clock.now();
        let mut table = self.state.children.borrow_mut();
        table.due(now, interval, children).to_vec()
    }

    async fn introduce(&self, child: IpAddr, interval: ClockTime, age: ClockTime) {
        let introduction = Introduction {
            sender: self.settings.endpoint.ip(),
            era: self.state.read_mark().0,
            age,
        };
        match self.send(child, &introduction).await {
            Ok(reply) => {
                let mut table = self.state.children.borrow_mut();
                table.record_reply(interval, child, reply.age);
                log::info!("event=introduced node={child}");
            }
            Err(error) => {
                log::info!("event=introduction_failed node={child} cause=\"{error}\"");
            }
        }
    }

    async fn send(&self, child: IpAddr, introduction: &Introduction) -> Result<IntroductionReply> {
        let port = self.settings.peer_listen.port();
        let to = NodeAddress(SocketAddr::new(child, port));
        let head = ViewCodec::encode(introduction)?;
        let exchange = self.pool.request::<IntroductionReply, VIEW_LIMIT>(
            to,
            INTRODUCTION_PATH,
            head,
            Bytes::new(),
        );
        let (reply, _) = time::timeout(REPLY_TIMEOUT.to_duration(), exchange)
            .await
            .map_err(|_| {
                Error::new(
                    ResultCode::PeerUnreachable,
                    format!("no reply within {REPLY_TIMEOUT}"),
                )
            })??;
        Ok(reply)
    }
}
