//! The accepting end of a link, which executes the orders of the other process.

use super::credits::LinkCredits;
use super::frame::{self, Frame, LinkGuard};
use super::results::Hop;
use super::tables;
use crate::batch::{Cell, Outcome, StageError};
use crate::core::Relay;
use crate::downstream::Downstream;
use decide::Map;
use slog::warn;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::{AbortHandle, JoinError, JoinSet};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::task::task_tracker::TaskTrackerToken;
use wire::{Listener, Receiver, Sender};

/// Interval at which the load of cells with pending orders is reported.
pub(super) const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Orders that are being executed for one link.
struct LinkOrders<D: Downstream> {
    running: JoinSet<(u64, Outcome)>,
    pending: Map<u64, PendingOrder>,
    credits: LinkCredits<D>,
}

/// An order whose outcome has not been sent.
struct PendingOrder {
    cell: Cell,
    handle: AbortHandle,
    /// Keeps a process that stops from exiting.
    _token: TaskTrackerToken,
}

/// Accepts links from other processes until the task is dropped.
pub async fn serve<D: Downstream>(relay: Arc<Relay<D>>, listener: Listener<Frame>) {
    loop {
        match listener.accept().await {
            Ok((sender, receiver)) => {
                tokio::spawn(serve_link(relay.clone(), sender, receiver));
            }
            Err(wire::Error::Closed) => return,
            Err(error) => warn!(relay.log, "cannot accept link"; "error" => %error),
        }
    }
}

/// Executes the orders of one link until the link is lost, which withdraws those that are still running.
async fn serve_link<D: Downstream>(
    relay: Arc<Relay<D>>,
    sender: Sender<Frame>,
    mut receiver: Receiver<Frame>,
) {
    let _open = LinkGuard::new(relay.clone(), sender.clone());
    relay.peers.subscribe(sender.clone());
    frame::send_state(&relay, &sender);
    let mut orders = LinkOrders {
        running: JoinSet::new(),
        pending: Map::default(),
        credits: LinkCredits::default(),
    };
    let mut load_reports = interval(LOAD_REPORT_INTERVAL);
    load_reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let sent = tokio::select! {
            frame = receiver.recv() => match frame {
                Ok(Some(frame)) => {
                    orders.handle_frame(&relay, &sender, frame);
                    Ok(())
                }
                _ => break,
            },
            Some(ended) = orders.running.join_next() => match ended {
                Ok((ticket, outcome)) => {
                    let sent = sender.send(Frame::Outcome { ticket, outcome }).await;
                    orders.pending.remove(&ticket);
                    sent
                }
                Err(ended) => match orders.fail(&ended) {
                    Some(ticket) => {
                        let outcome = Err(StageError::Failed);
                        sender.send(Frame::Outcome { ticket, outcome }).await
                    }
                    // The order was withdrawn.
                    None => Ok(()),
                },
            },
            _ = load_reports.tick(), if orders.is_in_use() => {
                orders.credits.drop_expired();
                orders.report_load(&relay, &sender).await
            }
        };
        if sent.is_err() {
            break;
        }
    }
}

impl<D: Downstream> LinkOrders<D> {
    fn handle_frame(&mut self, relay: &Arc<Relay<D>>, sender: &Sender<Frame>, frame: Frame) {
        match frame {
            Frame::Order {
                ticket,
                cell,
                sheet,
            } => {
                let outcome = relay.batcher(&cell).submit(relay, sheet.into_order());
                let handle = self.running.spawn(async move {
                    (ticket, outcome.await.unwrap_or(Err(StageError::Failed)))
                });
                let order = PendingOrder {
                    cell,
                    handle,
                    _token: relay.peers.orders.token(),
                };
                self.pending.insert(ticket, order);
            }
            Frame::AskCredit {
                ticket,
                cell,
                demand,
            } => self.credits.ask(relay, sender, ticket, &cell, &demand),
            Frame::ReturnCredit { ticket, outcome } => self.credits.take_back(ticket, outcome),
            Frame::Withdraw { ticket } => {
                if let Some(order) = self.pending.remove(&ticket) {
                    order.handle.abort();
                }
            }
            Frame::Burdens {
                service,
                from,
                burdens,
            } => {
                let others = relay.peers.call_loads.exchange(&service, from, burdens);
                // The reply is dropped if the link is lost or its queue is full: the sender reports
                // again soon.
                let _ = sender.try_send(&Frame::Elsewhere {
                    service,
                    burdens: others,
                });
            }
            Frame::AskNews {
                ticket,
                table,
                after,
            } => {
                let reply =
                    tables::send_update(relay.clone(), sender.clone(), ticket, table, after);
                tokio::spawn(reply);
            }
            Frame::AskTrial { ticket, claim } => {
                let reply = Box::new(relay.receive_claim(&claim, frame::PEER));
                // If the reply is lost, the trial counts as made.
                let _ = sender.try_send(&Frame::Trial { ticket, reply });
            }
            Frame::Held { cell, results } => relay.batcher(&cell).record_results(relay, &results),
            Frame::Release {
                results,
                spent: kind,
            } => relay
                .peers
                .receive_release(relay, &results, kind, Hop::First),
            Frame::ForwardedRelease {
                results,
                spent: kind,
            } => {
                let peers = &relay.peers;
                peers.receive_release(relay, &results, kind, Hop::Second);
            }
            other => frame::handle_frame(relay, sender, other),
        }
    }

    /// Removes the order whose task has ended without an outcome; `None` if it was withdrawn.
    fn fail(&mut self, ended: &JoinError) -> Option<u64> {
        let mut pending = self.pending.iter();
        let found = pending.find(|(_, order)| order.handle.id() == ended.id());
        let ticket = found.map(|(ticket, _)| *ticket)?;
        self.pending.remove(&ticket).map(|_| ticket)
    }

    /// Whether the other end awaits outcomes, and so reports of the load.
    fn is_in_use(&self) -> bool {
        !self.pending.is_empty() || !self.credits.is_empty()
    }

    async fn report_load(
        &self,
        relay: &Relay<D>,
        sender: &Sender<Frame>,
    ) -> Result<(), wire::Error> {
        let mut cells: Vec<&Cell> = Vec::new();
        let ordered = self.pending.values().map(|order| &order.cell);
        for cell in ordered.chain(self.credits.cells()) {
            if !cells.contains(&cell) {
                cells.push(cell);
            }
        }
        for cell in cells {
            let Some(batches) = relay.batches(&cell.service) else {
                continue;
            };
            if let Some(estimates) = relay.batcher(cell).expected(relay, &batches) {
                let cell = cell.clone();
                sender
                    .send(Frame::Load {
                        cell,
                        waits: estimates,
                    })
                    .await?;
            }
        }
        Ok(())
    }
}
