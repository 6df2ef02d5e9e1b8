//! Connection that fails when it receives many bytes of which none becomes a head or a part of a body.
//!
//! The HTTP library reads informational heads and the framing of chunks without end, and passes nothing on.

use std::cell::Cell;
use std::fmt;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use compact_str::CompactString;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;
use jaysaddle_types::units::ByteCount;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::connector::ServerStream;
use crate::response_bounds::BoundKind;
use crate::response_bounds::report_bound;

/// Maximum number of bytes received since the last head or part of a body was passed on. Larger than what the HTTP
/// library may have read ahead.
const MAX_UNDELIVERED: ByteCount = ByteCount(512 << 10);

/// Counts the bytes that a connection has received since a head or a part of a body was passed on.
pub struct ReadMeter {
    undelivered: Cell<usize>,
    /// Name of the server at the other end, for logs.
    sender: CompactString,
}

impl fmt::Debug for ReadMeter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} undelivered from {}",
            self.undelivered.get(),
            self.sender
        )
    }
}

impl ReadMeter {
    /// Creates a meter for a connection to the server `sender`.
    pub fn new(sender: &str) -> Rc<Self> {
        Rc::new(Self {
            undelivered: Cell::new(0),
            sender: sender.into(),
        })
    }

    /// Records that a head or a part of a body was passed on.
    pub fn record_delivery(&self) {
        self.undelivered.set(0);
    }

    fn record_read(&self, count: usize) -> io::Result<()> {
        let undelivered = self.undelivered.get() + count;
        self.undelivered.set(undelivered);
        if undelivered as u64 <= MAX_UNDELIVERED.0 {
            return Ok(());
        }
        report_bound(&self.sender, BoundKind::Undelivered, undelivered);
        Err(io::Error::other(format!(
            "{undelivered} bytes without a head or a part of a body"
        )))
    }
}

/// Connection whose received bytes are counted.
pub struct MeteredStream {
    stream: ServerStream,
    meter: Rc<ReadMeter>,
}

impl MeteredStream {
    /// Counts the bytes of `stream` with `meter`.
    pub fn new(stream: ServerStream, meter: Rc<ReadMeter>) -> Self {
        Self { stream, meter }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let count = buffer.filled().len() - before;
        Poll::Ready(self.meter.record_read(count))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Body of a response, whose parts count as passed on when they are read.
pub struct MeteredBody {
    body: Incoming,
    meter: Rc<ReadMeter>,
}

impl MeteredBody {
    /// Records with `meter` when parts of `body` are passed on.
    pub fn new(body: Incoming, meter: Rc<ReadMeter>) -> Self {
        Self { body, meter }
    }
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        self.meter.record_delivery();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
