//! Exchanges with peers that end when their connection makes no progress, however long they take on a slow link.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use jaysaddle_types::units::TimeSpan;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::own_pause::timeout_awake;

/// Number of bytes that a connection has received and sent.
#[derive(Clone, Debug, Default)]
pub struct ProgressCount(Rc<Cell<u64>>);

impl ProgressCount {
    fn add(&self, count: usize) {
        self.0.set(self.0.get() + count as u64);
    }

    /// Completes with the output of `future`, or with `None` when the connection has made no progress for `limit`.
    pub async fn timeout<F: Future>(&self, limit: TimeSpan, future: F) -> Option<F::Output> {
        tokio::pin!(future);
        loop {
            let before = self.0.get();
            let output = timeout_awake(limit, &mut future).await;
            if output.is_some() || self.0.get() == before {
                return output;
            }
        }
    }
}

/// TCP connection whose bytes are counted.
#[derive(Debug)]
pub struct ProgressStream {
    stream: TcpStream,
    count: ProgressCount,
}

impl ProgressStream {
    /// Counts the bytes of `stream` with `count`.
    pub fn new(stream: TcpStream, count: ProgressCount) -> Self {
        Self { stream, count }
    }
}

impl AsyncRead for ProgressStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.count.add(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ProgressStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write(context, data))?;
        self.count.add(count);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
