//! Writes outgoing frames to a link.

use futures_util::{SinkExt, stream::SplitSink};
use tokio::{net::TcpStream, sync::mpsc};
use tokio_tungstenite::{WebSocketStream, tungstenite::Message};

use crate::protocol::OutgoingFrame;

/// Writes the queued frames until the link breaks or the queue is closed. All frames that are waiting are
/// flushed at once.
pub async fn write_frames(
    mut rx: mpsc::Receiver<OutgoingFrame>,
    mut sink: SplitSink<WebSocketStream<TcpStream>, Message>,
) {
    let mut on_written = Vec::new();
    while let Some(first) = rx.recv().await {
        let mut next = Some(first);
        while let Some(frame) = next {
            if sink.feed(Message::Binary(frame.buf)).await.is_err() {
                return;
            }
            on_written.extend(frame.on_written);
            next = rx.try_recv().ok();
        }
        if sink.flush().await.is_err() {
            return;
        }
        for waiting in on_written.drain(..) {
            // Whoever waited may have given up.
            let _ = waiting.send(());
        }
    }
}
