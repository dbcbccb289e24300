//! The end of a link that carries out the other process's orders.

use super::frame::{self, Frame};
use super::{tables, transfer};
use crate::batch::{Cell, Outcome, StageError};
use crate::core::Relay;
use crate::downstream::Downstream;
use decide::Map;
use slog::warn;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{MissedTickBehavior, interval};
use wire::{Listener, Receiver, Sender};

/// Time between two words on the load of cells in which orders wait.
pub(super) const LOAD_EVERY: Duration = Duration::from_millis(200);

/// Orders of one link.
struct Orders {
    running: JoinSet<(u64, Outcome)>,
    handles: Map<u64, (Cell, AbortHandle)>,
}

/// Takes links from other processes until the task is dropped.
pub async fn serve<D: Downstream>(relay: Arc<Relay<D>>, listener: Listener<Frame>) {
    loop {
        match listener.accept().await {
            Ok((sender, receiver)) => {
                tokio::spawn(carry(relay.clone(), sender, receiver));
            }
            Err(wire::Error::Closed) => return,
            Err(error) => warn!(relay.log, "link not taken"; "error" => %error),
        }
    }
}

/// Carries out the orders of one link until it is lost, which withdraws those that are left.
async fn carry<D: Downstream>(
    relay: Arc<Relay<D>>,
    sender: Sender<Frame>,
    mut receiver: Receiver<Frame>,
) {
    relay.peers.subscribe(sender.clone());
    frame::greet(&relay, &sender);
    let mut orders = Orders {
        running: JoinSet::new(),
        handles: Map::default(),
    };
    let mut news = interval(LOAD_EVERY);
    news.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let sent = tokio::select! {
            frame = receiver.recv() => match frame {
                Ok(Some(frame)) => {
                    orders.take(&relay, &sender, frame);
                    Ok(())
                }
                _ => break,
            },
            Some(ended) = orders.running.join_next() => match ended {
                Ok((ticket, outcome)) => {
                    orders.handles.remove(&ticket);
                    sender.send(Frame::Outcome { ticket, outcome }).await
                }
                // It was withdrawn.
                Err(_) => Ok(()),
            },
            _ = news.tick(), if !orders.handles.is_empty() => orders.tell_load(&relay, &sender).await,
        };
        if sent.is_err() {
            break;
        }
    }
    sender.abort();
    transfer::lost(&relay, &sender);
}

impl Orders {
    fn take<D: Downstream>(&mut self, relay: &Arc<Relay<D>>, sender: &Sender<Frame>, frame: Frame) {
        match frame {
            Frame::Order {
                ticket,
                cell,
                sheet,
            } => {
                let outcome = relay.batcher(&cell).submit(relay, sheet.order());
                let handle = self.running.spawn(async move {
                    (ticket, outcome.await.unwrap_or(Err(StageError::Failed)))
                });
                self.handles.insert(ticket, (cell, handle));
            }
            Frame::Withdraw { ticket } => {
                if let Some((_, handle)) = self.handles.remove(&ticket) {
                    handle.abort();
                }
            }
            Frame::Burdens {
                service,
                from,
                burdens,
            } => {
                let burdens = relay.peers.call_loads.exchange(&service, from, burdens);
                // A link that is gone or full needs no reply: the sender asks again.
                let _ = sender.try_send(&Frame::Elsewhere { service, burdens });
            }
            Frame::AskNews {
                ticket,
                table,
                after,
            } => {
                let telling = tables::answer(relay.clone(), sender.clone(), ticket, table, after);
                tokio::spawn(telling);
            }
            Frame::Held { cell, results } => relay.batcher(&cell).record_results(relay, &results),
            Frame::Release { results, spent } => {
                let batcher = relay.batcher(&results.cell);
                batcher.release(relay, &results.handles, spent);
            }
            other => frame::common(relay, sender, other),
        }
    }

    async fn tell_load<D: Downstream>(
        &self,
        relay: &Relay<D>,
        sender: &Sender<Frame>,
    ) -> Result<(), wire::Error> {
        let mut cells: Vec<&Cell> = Vec::new();
        for (cell, _) in self.handles.values() {
            if !cells.contains(&cell) {
                cells.push(cell);
            }
        }
        for cell in cells {
            let Some(batches) = relay.batches(&cell.service) else {
                continue;
            };
            if let Some(waits) = relay.batcher(cell).expected(relay, &batches) {
                let cell = cell.clone();
                sender.send(Frame::Load { cell, waits }).await?;
            }
        }
        Ok(())
    }
}
