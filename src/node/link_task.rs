use std::pin::pin;
use std::rc::Rc;

use futures_channel::mpsc;
use futures_util::future::{self, Either};
use futures_util::stream::StreamExt;
use monoio::time;

use crate::clock::ClockTime;
use crate::error::Result;
use crate::id::NodeAddress;
use crate::node::{ControlEvent, LinkHandle, SharedState};
use crate::peer::{ControlLink, ControlMessage, ControlReceiver, ControlSender, PeerCaller};

/// Messages that may be queued on a link; the link to a peer that does not keep up is closed.
const SEND_QUEUE_CAPACITY: usize = 1_024;
/// Time limit for the `Hello` message, the first one on an accepted link.
const HELLO_TIMEOUT: ClockTime = ClockTime(2_000);

/// Opens a control link to `peer` and serves it until it is closed.
pub(crate) async fn open_link(
    link_id: u64,
    peer: NodeAddress,
    peers: Rc<dyn PeerCaller>,
    shared: Rc<SharedState>,
) {
    match peers.open_control(peer).await {
        Ok(control) => serve(link_id, peer, true, control, None, &shared).await,
        Err(error) => {
            log::debug!(
                "event=link_failed peer={peer} code={} error=\"{error}\"",
                error.code()
            );
            shared.send_event(ControlEvent::LinkDown { link_id, peer });
        }
    }
}

/// Serves a control link that a peer opened. The link is dropped unless its first message is
/// `Hello`.
pub(crate) async fn accept_link(link_id: u64, mut control: ControlLink, shared: Rc<SharedState>) {
    let first = time::timeout(HELLO_TIMEOUT.to_duration(), control.receive()).await;
    let Ok(Ok(Some(message))) = first else {
        return;
    };
    let ControlMessage::Hello(hello) = &message else {
        return;
    };
    let peer = hello.member.address;
    serve(link_id, peer, false, control, Some(message), &shared).await;
}

async fn serve(
    link_id: u64,
    peer: NodeAddress,
    opened_locally: bool,
    control: ControlLink,
    first: Option<ControlMessage>,
    shared: &SharedState,
) {
    let counter = control.counter();
    let (sender, receiver) = control.split();
    let (send_queue, messages) = mpsc::channel(SEND_QUEUE_CAPACITY);
    shared.send_event(ControlEvent::LinkUp(LinkHandle {
        link_id,
        peer,
        opened_locally,
        send_queue,
        counter,
    }));
    if let Some(message) = first {
        shared.send_event(ControlEvent::LinkMessage {
            link_id,
            peer,
            message,
        });
    }
    let writing = pin!(write(sender, messages));
    let reading = pin!(read(link_id, peer, receiver, shared));
    let result = match future::select(writing, reading).await {
        Either::Left((result, _)) | Either::Right((result, _)) => result,
    };
    if let Err(error) = result {
        log::debug!(
            "event=link_lost peer={peer} code={} error=\"{error}\"",
            error.code()
        );
    }
    shared.send_event(ControlEvent::LinkDown { link_id, peer });
}

async fn write(
    mut sender: ControlSender,
    mut messages: mpsc::Receiver<ControlMessage>,
) -> Result<()> {
    while let Some(message) = messages.next().await {
        sender.send(&message).await?;
    }
    Ok(())
}

async fn read(
    link_id: u64,
    peer: NodeAddress,
    mut receiver: ControlReceiver,
    shared: &SharedState,
) -> Result<()> {
    while let Some(message) = receiver.receive().await? {
        shared.send_event(ControlEvent::LinkMessage {
            link_id,
            peer,
            message,
        });
    }
    Ok(())
}
