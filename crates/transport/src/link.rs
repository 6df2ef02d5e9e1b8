//! A connection with a peer and its task.

use std::cell::Cell;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use jaysaddle_wire::ClusterKey;
use jaysaddle_wire::FrameCodec;
use jaysaddle_wire::FrameError;
use jaysaddle_wire::messages::HeartbeatMessage;
use jaysaddle_wire::messages::PeerBody;
use jaysaddle_wire::messages::PeerMessage;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tokio_util::codec::Framed;

use crate::command::TransportEvent;
use crate::settings::TransportSettings;
use crate::telemetry;
use crate::telemetry::RejectionLog;

/// Added to the idle timeout of an accepted connection, so that usually the side that opened it
/// closes it and no frame is in flight during the close.
const ACCEPTED_IDLE_MARGIN: Duration = Duration::from_secs(2);

/// Number of checks of a connection per timeout.
const CHECKS_PER_TIMEOUT: u32 = 8;

/// Why a connection ended.
#[derive(Debug)]
pub(crate) enum LinkEnd {
    /// No message was sent or received within the idle timeout.
    Idle,
    /// The transport stops and the queue has been sent.
    Stopped,
    /// The peer closed the connection.
    ClosedByPeer,
    /// The connection could not be opened.
    ConnectFailed(io::Error),
    /// A message was sent and no frame, not even a heartbeat, was received within the stall
    /// timeout after it.
    Unresponsive,
    /// A frame could not be written within the stall timeout.
    WriteStalled,
    /// A received frame was rejected.
    BadFrame(FrameError),
    /// The connection failed with an I/O error.
    Broken(FrameError),
    /// The first frame did not arrive in time or does not contain the peer's listen address.
    HandshakeFailed,
}

impl fmt::Display for LinkEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkEnd::Idle => f.write_str("the connection was idle"),
            LinkEnd::Stopped => f.write_str("the transport is stopping"),
            LinkEnd::ClosedByPeer => f.write_str("the peer closed the connection"),
            LinkEnd::ConnectFailed(error) => write!(f, "cannot connect: {error}"),
            LinkEnd::Unresponsive => f.write_str("no frame received within the stall timeout"),
            LinkEnd::WriteStalled => f.write_str("no frame written within the stall timeout"),
            LinkEnd::BadFrame(error) => write!(f, "{error}"),
            LinkEnd::Broken(error) => write!(f, "{error}"),
            LinkEnd::HandshakeFailed => f.write_str("no valid first frame received in time"),
        }
    }
}

impl From<FrameError> for LinkEnd {
    fn from(error: FrameError) -> Self {
        match error {
            FrameError::Io(_) => LinkEnd::Broken(error),
            _ => LinkEnd::BadFrame(error),
        }
    }
}

/// Times of the last activity on a connection.
#[derive(Debug)]
pub(crate) struct LinkActivity {
    last_sent_at: Cell<Instant>,
    last_received_at: Cell<Instant>,
    /// Last message that is not a heartbeat, in either direction.
    last_message_at: Cell<Instant>,
    /// When the first message was sent after the last received frame; `None` if there is none.
    unanswered_since: Cell<Option<Instant>>,
}

impl LinkActivity {
    pub(crate) fn start() -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Self {
            last_sent_at: Cell::new(now),
            last_received_at: Cell::new(now),
            last_message_at: Cell::new(now),
            unanswered_since: Cell::new(None),
        })
    }

    pub(crate) fn last_message_at(&self) -> Instant {
        self.last_message_at.get()
    }

    pub(crate) fn has_unanswered(&self) -> bool {
        self.unanswered_since.get().is_some()
    }

    fn record_sent(&self, message: &PeerMessage) {
        let now = Instant::now();
        self.last_sent_at.set(now);
        if !is_heartbeat(message) {
            self.last_message_at.set(now);
            self.unanswered_since
                .set(self.unanswered_since.get().or(Some(now)));
        }
    }

    fn record_received(&self, message: &PeerMessage) {
        let now = Instant::now();
        self.last_received_at.set(now);
        self.unanswered_since.set(None);
        if !is_heartbeat(message) {
            self.last_message_at.set(now);
        }
    }
}

fn is_heartbeat(message: &PeerMessage) -> bool {
    matches!(message.body, Some(PeerBody::Heartbeat(_)))
}

fn heartbeat(listen: Option<SocketAddr>) -> PeerMessage {
    let listen = listen.map(|address| address.to_string());
    PeerMessage {
        body: Some(PeerBody::Heartbeat(HeartbeatMessage { listen })),
        ..PeerMessage::default()
    }
}

/// Report from the task of a connection to the hub.
#[derive(Debug)]
pub(crate) enum LinkReport {
    /// An accepted connection has sent a valid first frame with the peer's listen address.
    HandshakeCompleted { id: u64, peer: SocketAddr },
    /// The task of the connection has ended.
    Ended { id: u64, end: LinkEnd },
}

/// Data shared by the tasks of all connections.
#[derive(Clone, Debug)]
pub(crate) struct LinkContext {
    pub(crate) settings: Rc<TransportSettings>,
    pub(crate) key: ClusterKey,
    pub(crate) events: flume::Sender<TransportEvent>,
    pub(crate) reports: flume::Sender<LinkReport>,
    pub(crate) rejections: Rc<RejectionLog>,
}

/// The task of one connection.
#[derive(Debug)]
pub(crate) struct LinkTask {
    pub(crate) id: u64,
    pub(crate) context: LinkContext,
    pub(crate) outgoing: flume::Receiver<PeerMessage>,
    pub(crate) activity: Rc<LinkActivity>,
}

type FrameSink = SplitSink<Framed<TcpStream, FrameCodec>, PeerMessage>;
type FrameStream = SplitStream<Framed<TcpStream, FrameCodec>>;

impl LinkTask {
    /// Opens a connection to `to`, announces this node's listen address and exchanges messages
    /// until the connection ends.
    pub(crate) async fn dial(self, to: SocketAddr) {
        let end = match self.connect(to).await {
            Ok(stream) => self.handshake_and_run(stream, to).await,
            Err(error) => LinkEnd::ConnectFailed(error),
        };
        self.report_end(end, to);
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<TcpStream> {
        let limit = self.context.settings.connect_timeout.as_duration();
        let stream = timeout(limit, TcpStream::connect(to)).await??;
        stream.set_nodelay(true)?;
        telemetry::count_opened("out");
        Ok(stream)
    }

    async fn handshake_and_run(&self, stream: TcpStream, to: SocketAddr) -> LinkEnd {
        let (mut sink, stream) = self.frame(stream).split();
        let handshake = heartbeat(Some(self.context.settings.listen));
        if let Err(end) = self.write(&mut sink, handshake).await {
            return end;
        }
        let idle = self.context.settings.idle_timeout.as_duration();
        self.run(sink, stream, to, idle).await
    }

    /// Waits for the first frame of an accepted connection, then exchanges messages until the end
    /// of the connection.
    pub(crate) async fn accept(self, stream: TcpStream, remote: SocketAddr) {
        let (sink, mut stream) = self.frame(stream).split();
        let end = match self.await_handshake(&mut stream).await {
            Ok(peer) => {
                telemetry::count_opened("in");
                self.report(LinkReport::HandshakeCompleted { id: self.id, peer });
                let idle = self.context.settings.idle_timeout.as_duration();
                let idle = idle + ACCEPTED_IDLE_MARGIN;
                self.run(sink, stream, peer, idle).await
            }
            Err(end) => end,
        };
        self.report_end(end, remote);
    }

    async fn await_handshake(&self, stream: &mut FrameStream) -> Result<SocketAddr, LinkEnd> {
        let limit = self.context.settings.handshake_timeout.as_duration();
        let first = timeout(limit, stream.next())
            .await
            .map_err(|_| LinkEnd::HandshakeFailed)?
            .ok_or(LinkEnd::ClosedByPeer)??;
        telemetry::count_received(&first);
        self.activity.record_received(&first);
        let listen = match first.body {
            Some(PeerBody::Heartbeat(heartbeat)) => heartbeat.listen,
            _ => None,
        };
        listen
            .and_then(|listen| listen.parse().ok())
            .ok_or(LinkEnd::HandshakeFailed)
    }

    fn frame(&self, stream: TcpStream) -> Framed<TcpStream, FrameCodec> {
        Framed::new(stream, FrameCodec::new(self.context.key.clone()))
    }

    async fn run(
        &self,
        sink: FrameSink,
        stream: FrameStream,
        peer: SocketAddr,
        idle: Duration,
    ) -> LinkEnd {
        tokio::select! {
            end = self.write_queue(sink) => end,
            end = self.read(stream, peer) => end,
            end = self.monitor(idle) => end,
        }
    }

    /// Writes queued messages, and heartbeats while the queue is empty.
    async fn write_queue(&self, mut sink: FrameSink) -> LinkEnd {
        let interval = self.context.settings.heartbeat_interval.as_duration();
        loop {
            let next = self.activity.last_sent_at.get() + interval;
            let message = match timeout_at(next, self.outgoing.recv_async()).await {
                Ok(Ok(message)) => message,
                Ok(Err(_)) => return LinkEnd::Stopped,
                Err(_) => heartbeat(None),
            };
            if let Err(end) = self.write(&mut sink, message).await {
                return end;
            }
        }
    }

    async fn write(&self, sink: &mut FrameSink, message: PeerMessage) -> Result<(), LinkEnd> {
        let limit = self.context.settings.stall_timeout.as_duration();
        self.activity.record_sent(&message);
        telemetry::count_sent(&message);
        match timeout(limit, sink.send(message)).await {
            // The message was rejected before any byte was written, so the connection is intact.
            Ok(Err(error @ FrameError::TooLarge)) => {
                log::error!("dropping a message to a peer: {error}");
                telemetry::count_dropped(1, "too_large");
                Ok(())
            }
            Ok(result) => result.map_err(LinkEnd::from),
            Err(_) => Err(LinkEnd::WriteStalled),
        }
    }

    async fn read(&self, mut stream: FrameStream, peer: SocketAddr) -> LinkEnd {
        loop {
            let message = match stream.next().await {
                Some(Ok(message)) => message,
                Some(Err(error)) => return error.into(),
                None => return LinkEnd::ClosedByPeer,
            };
            telemetry::count_received(&message);
            self.activity.record_received(&message);
            if is_heartbeat(&message) {
                continue;
            }
            let from = peer;
            let event = TransportEvent::Received { from, message };
            // A full channel blocks only this connection. The channel is closed when the daemon
            // stops; the message is then dropped.
            if self.context.events.send_async(event).await.is_err() {
                return LinkEnd::Stopped;
            }
        }
    }

    /// Returns when the connection has stalled or is idle.
    async fn monitor(&self, idle: Duration) -> LinkEnd {
        let limit = self.context.settings.stall_timeout.as_duration();
        let check_interval = limit.min(idle) / CHECKS_PER_TIMEOUT;
        loop {
            sleep(check_interval).await;
            let now = Instant::now();
            match self.activity.unanswered_since.get() {
                Some(since) if now - since.max(self.activity.last_received_at.get()) >= limit => {
                    return LinkEnd::Unresponsive;
                }
                Some(_) => {}
                None => {
                    let is_idle = now - self.activity.last_message_at.get() >= idle;
                    if is_idle && self.outgoing.is_empty() {
                        return LinkEnd::Idle;
                    }
                }
            }
        }
    }

    fn report_end(&self, end: LinkEnd, remote: SocketAddr) {
        let rejections = &self.context.rejections;
        match &end {
            LinkEnd::BadFrame(error) => {
                rejections.record(error.cause(), remote, &error.to_string());
            }
            LinkEnd::HandshakeFailed => {
                rejections.record("no_greeting", remote, &end.to_string());
            }
            _ => log::debug!("peer connection with {remote} ended: {end}"),
        }
        self.report(LinkReport::Ended { id: self.id, end });
    }

    fn report(&self, report: LinkReport) {
        // The hub outlives its tasks except while the transport stops, when reports have no reader.
        if self.context.reports.send(report).is_err() {
            log::debug!("dropping a connection report: the transport has stopped");
        }
    }
}
