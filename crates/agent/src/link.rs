//! Handles the frames of one link to an entry.

use crate::core::Core;
use crate::state::LinkId;
use std::sync::Arc;
use tokio::time::timeout;
use wire::liveness::IDLE_TIMEOUT;
use wire::{Frame, Receiver, Sender};

/// Serves one link until it is lost or the agent closes it.
pub(crate) async fn serve(core: Arc<Core>, sender: Sender, mut receiver: Receiver) {
    let link = core.add_link(&sender).await;
    loop {
        let received = tokio::select! {
            received = receiver.recv() => received,
            () = core.closing.cancelled() => break,
        };
        match received {
            Ok(Some(frame)) => handle_frame(&core, link, &sender, frame).await,
            Ok(None) | Err(_) => break,
        }
    }
    drop(sender);
    core.remove_link(link);
    // Closing a socket with unread frames resets the connection, and the entry could lose the ends
    // of answers that were already sent. The agent therefore waits until the entry closes first.
    if core.closing.is_cancelled() {
        let _ = timeout(IDLE_TIMEOUT, async {
            while let Ok(Some(_)) = receiver.recv().await {}
        })
        .await;
    }
}

async fn handle_frame(core: &Arc<Core>, link: LinkId, sender: &Sender, frame: Frame) {
    match frame {
        Frame::Offer { call, work } => core.offer(link, sender, call, work).await,
        Frame::Grant { call } => core.grant(call),
        Frame::Deny { call } => core.deny(call),
        Frame::Revoke { call } => core.revoke(call).await,
        Frame::Cancel { call } => core.cancel(call).await,
        Frame::Recall { call, from } => core.recall(link, sender, call, from).await,
        Frame::Order { fence, body } => core.enqueue_order(fence, body, sender).await,
        Frame::Query {
            number,
            fence,
            wanted,
        } => core.answer_query(number, fence, wanted, sender),
        _ => drop(core.telemetry.strays.inc()),
    }
}
