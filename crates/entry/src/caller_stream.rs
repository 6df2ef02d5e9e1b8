//! Stream of a caller's connection, closed without destroying the responses that are on their way.

use std::cell::Cell;
use std::io;
use std::net::IpAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use jaysaddle_daemon::clock;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep;
use tokio::time::timeout;

/// Number of bytes that a closed connection discards before it is reset; more than the body of a request that was refused
/// without being read.
const MAX_DISCARDED_BYTES: usize = 16 << 20;
/// Number of bytes read at once.
const READ_BYTES: usize = 16 * 1024;

/// Time without progress after which the write of a response fails, because its caller does not read it. A caller that waits longer may
/// still read it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);

/// TCP stream whose received bytes can be given back, to be read again.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    caller: IpAddr,
    /// Bytes to read before those of the stream.
    unread: Bytes,
    /// End of a write that makes no progress; `None` while none waits.
    write_timeout: Option<Pin<Box<Sleep>>>,
    /// Time until which the caller waits for its last response.
    awaited_until: Rc<Cell<Timestamp>>,
    /// Whether dropping the stream must reset the connection, because its end would complete a truncated response.
    resets_on_drop: Rc<Cell<bool>>,
}

impl CallerStream {
    pub fn new(stream: TcpStream, caller: IpAddr) -> Self {
        Self {
            stream,
            caller,
            unread: Bytes::new(),
            write_timeout: None,
            awaited_until: Rc::default(),
            resets_on_drop: Rc::default(),
        }
    }

    /// Address of the caller.
    pub fn caller(&self) -> IpAddr {
        self.caller
    }

    /// Gives back bytes that were read and not used.
    pub fn push_back(&mut self, bytes: &[u8]) {
        if !bytes.is_empty() {
            self.unread = [bytes, &self.unread].concat().into();
        }
    }

    /// Whether bytes have been received that were not read, or were given back.
    pub fn has_unread(&mut self) -> bool {
        if self.unread.is_empty() {
            let mut buffer = vec![0; READ_BYTES];
            // An error or the end of the stream shows when the connection is closed.
            if let Ok(count) = self.stream.try_read(&mut buffer) {
                buffer.truncate(count);
                self.unread = buffer.into();
            }
        }
        !self.unread.is_empty()
    }

    /// Time until which the caller waits for its last response.
    pub fn awaited_until(&self) -> Rc<Cell<Timestamp>> {
        self.awaited_until.clone()
    }

    /// Whether dropping the stream resets the connection, which tells the caller that its response is not complete.
    pub fn resets_on_drop(&self) -> Rc<Cell<bool>> {
        self.resets_on_drop.clone()
    }

    /// Closes the sending side, and waits until the caller has closed the connection too, at most for `limit`. What the
    /// caller sends meanwhile is discarded.
    pub async fn linger(mut self, limit: Duration) {
        self.resets_on_drop.set(false);
        let closed = async {
            self.stream.shutdown().await?;
            let mut buffer = vec![0; READ_BYTES];
            let mut discarded = 0;
            while discarded < MAX_DISCARDED_BYTES {
                match self.stream.read(&mut buffer).await? {
                    0 => break,
                    count => discarded += count,
                }
            }
            io::Result::Ok(())
        };
        match timeout(limit, closed).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::debug!("event=linger_failed error=\"{error}\""),
            Err(_) => log::debug!("event=linger_timed_out"),
        }
    }
}

impl CallerStream {
    /// Fails a write that has waited for too long. A response that nobody reads would keep its memory, and a stream its
    /// place at a backend server.
    fn check_progress(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if result.is_ready() {
            self.write_timeout = None;
            return result;
        }
        let timeout = self
            .write_timeout
            .get_or_insert_with(|| Box::pin(sleep(WRITE_TIMEOUT)));
        ready!(timeout.as_mut().poll(context));
        let left = self.awaited_until.get().since(clock::now());
        if left > TimeSpan(0) {
            timeout.as_mut().reset(Instant::now() + left.as_duration());
            ready!(timeout.as_mut().poll(context));
        }
        log::info!("event=caller_not_reading caller={}", self.caller);
        Poll::Ready(Err(io::Error::from(io::ErrorKind::TimedOut)))
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if !self.resets_on_drop.get() {
            return;
        }
        if let Err(error) = self.stream.set_zero_linger() {
            log::debug!("event=reset_failed error=\"{error}\"");
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.unread.is_empty() {
            return Pin::new(&mut this.stream).poll_read(context, buffer);
        }
        let count = this.unread.len().min(buffer.remaining());
        buffer.put_slice(&this.unread[..count]);
        this.unread.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.check_progress(context, result)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    /// Leaves the connection open: what is still unread decides how it is closed.
    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write_vectored(context, slices);
        this.check_progress(context, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
