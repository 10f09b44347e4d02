//! The answer to a batch of steps, line by line: [`stream_body`].

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio::time::Interval;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::server::ReplyBody;
use crate::server::lost_answer;
use banyan_wire::engine::HEARTBEAT_MS;
use banyan_wire::engine::StepEvent;

/// What a batch's stream is told about one of its steps.
#[derive(Clone, Debug)]
pub(super) enum StreamItem {
    /// The step's answer or refusal.
    Final(StepEvent),
    /// A line that settles no step of the batch.
    Extra(StepEvent),
    /// The answer is lost and the connection breaks in its place.
    Break,
}

/// The sending half of a batch's stream.
pub(super) type StreamSender = mpsc::UnboundedSender<StreamItem>;

/// The receiving half with what is still to come.
struct StepStream {
    items: mpsc::UnboundedReceiver<StreamItem>,
    heartbeat: Interval,
    /// Steps that are neither answered nor refused.
    open: usize,
    ended: bool,
}

/// The body for a batch of `steps` steps: events, heartbeats between them, and `Done` at the end.
pub(super) fn stream_body(items: mpsc::UnboundedReceiver<StreamItem>, steps: usize) -> ReplyBody {
    let mut heartbeat = interval(Duration::from_millis(HEARTBEAT_MS));
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let stream = StepStream { items, heartbeat, open: steps, ended: false };
    let frames = futures::stream::unfold(stream, |mut stream| async move {
        let frame = stream.next_frame().await?;
        Some((frame, stream))
    });
    StreamBody::new(frames).boxed_unsync()
}

impl StepStream {
    async fn next_frame(&mut self) -> Option<io::Result<Frame<Bytes>>> {
        if self.ended {
            return None;
        }
        if self.open == 0 {
            self.ended = true;
            return Some(line(&StepEvent::Done));
        }
        tokio::select! {
            item = self.items.recv() => match item {
                Some(StreamItem::Final(event)) => {
                    self.open -= 1;
                    Some(line(&event))
                }
                Some(StreamItem::Extra(event)) => Some(line(&event)),
                Some(StreamItem::Break) => {
                    self.ended = true;
                    Some(Err(lost_answer()))
                }
                // Answers that went silent never come: only heartbeats do.
                None => self.next_heartbeat().await,
            },
            _ = self.heartbeat.tick() => Some(line(&StepEvent::Heartbeat)),
        }
    }

    async fn next_heartbeat(&mut self) -> Option<io::Result<Frame<Bytes>>> {
        self.heartbeat.tick().await;
        Some(line(&StepEvent::Heartbeat))
    }
}

fn line(event: &StepEvent) -> io::Result<Frame<Bytes>> {
    let mut text = serde_json::to_vec(event)?;
    text.push(b'\n');
    Ok(Frame::data(Bytes::from(text)))
}
