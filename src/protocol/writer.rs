//! Writes outgoing frames to a link.

use bytes::Bytes;
use futures_util::{SinkExt, stream::SplitSink};
use tokio::{net::TcpStream, sync::mpsc};
use tokio_tungstenite::{WebSocketStream, tungstenite::Message};

/// Writes the queued frames until the link breaks or the queue is closed. All frames that are waiting are
/// flushed at once.
pub async fn write_frames(
    mut rx: mpsc::Receiver<Bytes>,
    mut sink: SplitSink<WebSocketStream<TcpStream>, Message>,
) {
    while let Some(buf) = rx.recv().await {
        if sink.feed(Message::Binary(buf)).await.is_err() {
            return;
        }
        while let Ok(buf) = rx.try_recv() {
            if sink.feed(Message::Binary(buf)).await.is_err() {
                return;
            }
        }
        if sink.flush().await.is_err() {
            return;
        }
    }
}
