//! Converts agent frames to events of a stage.

use protocol::call::Event;
use wire::{Frame, Load, Refusal};

/// Returns the event of the state machine for a frame; `None` stands for a lost link.
pub(super) fn event(frame: Option<&Frame>) -> Event {
    match frame {
        None => Event::LinkLost,
        Some(Frame::Ask { .. }) => Event::Ask,
        Some(Frame::Refuse {
            reason: Refusal::Forgotten,
            ..
        }) => Event::Forgotten,
        Some(Frame::Refuse { .. }) => Event::Refuse,
        Some(Frame::Chunk { sequence, data, .. }) => Event::Chunk {
            sequence: *sequence,
            length: u32::try_from(data.len()).unwrap_or(u32::MAX),
        },
        Some(Frame::Done { chunks, length, .. }) => Event::Done {
            chunks: *chunks,
            length: *length,
        },
        Some(Frame::Fail { .. }) => Event::Fail,
        Some(Frame::Break { .. }) => Event::RunnerLost,
        Some(_) => Event::Started,
    }
}

pub(super) fn is_unreachable(frame: Option<&Frame>) -> bool {
    matches!(
        frame,
        Some(Frame::Refuse {
            reason: Refusal::Unreachable,
            ..
        })
    )
}

pub(super) fn refusal(frame: Option<&Frame>) -> (Option<Load>, bool) {
    match frame {
        Some(Frame::Refuse { reason, load, .. }) => (Some(*load), *reason == Refusal::Full),
        _ => (None, false),
    }
}

/// Returns why an attempt brought no answer, for the log.
pub(super) fn reason(frame: Option<&Frame>) -> String {
    match frame {
        None => "link lost".to_owned(),
        Some(Frame::Refuse { reason, .. }) => format!("refused: {reason:?}"),
        Some(Frame::Fail { status, .. }) => format!("status {status}"),
        Some(Frame::Break { reason, .. }) => reason.clone(),
        Some(_) => "answer out of order".to_owned(),
    }
}
