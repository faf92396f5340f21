//! The queue of outgoing frames of a link.

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

/// An outgoing frame, and who waits until it has been handed to the operating system.
#[derive(Debug)]
pub struct OutgoingFrame {
    pub(super) buf: Bytes,
    pub(super) on_written: Option<oneshot::Sender<()>>,
}

/// Queues frames for the writer of a link.
#[derive(Clone, Debug)]
pub struct FrameSender {
    tx: mpsc::Sender<OutgoingFrame>,
}

impl FrameSender {
    /// Creates a queue of at most `capacity` frames for [`write_frames`](super::write_frames).
    pub fn channel(capacity: usize) -> (Self, mpsc::Receiver<OutgoingFrame>) {
        let (tx, rx) = mpsc::channel(capacity);
        (Self { tx }, rx)
    }

    /// Queues a frame; false if the link is down. The frame is lost if the process is killed before it is written.
    pub async fn send(&self, buf: Bytes) -> bool {
        self.tx.send(OutgoingFrame { buf, on_written: None }).await.is_ok()
    }

    /// Queues a frame unless the queue is full or the link is down.
    pub fn try_send(&self, buf: Bytes) -> bool {
        self.tx.try_send(OutgoingFrame { buf, on_written: None }).is_ok()
    }

    /// Sends a frame and waits until it has been handed to the operating system, which delivers it even if the process
    /// is killed then; false if the link broke before.
    pub async fn send_written(&self, buf: Bytes) -> bool {
        let (on_written, written) = oneshot::channel();
        let frame = OutgoingFrame { buf, on_written: Some(on_written) };
        self.tx.send(frame).await.is_ok() && written.await.is_ok()
    }
}
