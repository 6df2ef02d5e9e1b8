//! One connection with a peer.

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

/// Added to the idle time of an accepted connection, so that usually the side that opened it
/// closes it and no frame crosses the close.
const ACCEPTED_IDLE_MARGIN: Duration = Duration::from_secs(2);

/// Checks of a connection per silence limit.
const CHECKS_PER_LIMIT: u32 = 8;

/// Why a connection ended.
#[derive(Debug)]
pub(crate) enum LinkEnd {
    /// No message for the idle time.
    Idle,
    /// The transport stops and the queue is sent.
    Stopped,
    /// The peer closed the connection.
    ClosedByPeer,
    /// It could not be opened.
    ConnectFailed(io::Error),
    /// Sent frames were not answered, not even by a heartbeat.
    Silent,
    /// A frame could not be written within the silence limit.
    Stalled,
    /// A frame was rejected.
    BadFrame(FrameError),
    /// The connection broke.
    Broken(FrameError),
    /// The first frame did not arrive in time or does not say where the peer listens.
    NoGreeting,
}

impl fmt::Display for LinkEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkEnd::Idle => f.write_str("it was idle"),
            LinkEnd::Stopped => f.write_str("the transport stops"),
            LinkEnd::ClosedByPeer => f.write_str("the peer closed it"),
            LinkEnd::ConnectFailed(error) => write!(f, "it could not be opened: {error}"),
            LinkEnd::Silent => f.write_str("the peer was silent"),
            LinkEnd::Stalled => f.write_str("the peer takes no data"),
            LinkEnd::BadFrame(error) => write!(f, "{error}"),
            LinkEnd::Broken(error) => write!(f, "{error}"),
            LinkEnd::NoGreeting => f.write_str("no valid first frame arrived in time"),
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

/// When something last happened on a connection.
#[derive(Debug)]
pub(crate) struct LinkClock {
    last_sent: Cell<Instant>,
    last_received: Cell<Instant>,
    /// Last message other than a heartbeat, in either direction.
    last_message: Cell<Instant>,
    /// When the first message was sent since something was last received.
    unanswered: Cell<Option<Instant>>,
}

impl LinkClock {
    pub(crate) fn start() -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Self {
            last_sent: Cell::new(now),
            last_received: Cell::new(now),
            last_message: Cell::new(now),
            unanswered: Cell::new(None),
        })
    }

    pub(crate) fn last_message(&self) -> Instant {
        self.last_message.get()
    }

    pub(crate) fn has_unanswered(&self) -> bool {
        self.unanswered.get().is_some()
    }

    fn note_sending(&self, message: &PeerMessage) {
        let now = Instant::now();
        self.last_sent.set(now);
        if !is_heartbeat(message) {
            self.last_message.set(now);
            self.unanswered.set(self.unanswered.get().or(Some(now)));
        }
    }

    fn note_received(&self, message: &PeerMessage) {
        let now = Instant::now();
        self.last_received.set(now);
        self.unanswered.set(None);
        if !is_heartbeat(message) {
            self.last_message.set(now);
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

/// What a connection's task tells the hub.
#[derive(Debug)]
pub(crate) enum LinkReport {
    /// An accepted connection has shown the key and said where its peer listens.
    Greeted { id: u64, peer: SocketAddr },
    /// The task has ended.
    Ended { id: u64, end: LinkEnd },
}

/// What every connection's task needs.
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
    pub(crate) clock: Rc<LinkClock>,
}

type FrameSink = SplitSink<Framed<TcpStream, FrameCodec>, PeerMessage>;
type FrameStream = SplitStream<Framed<TcpStream, FrameCodec>>;

impl LinkTask {
    /// Opens a connection to `to`, announces the own address and carries messages until the end.
    pub(crate) async fn dial(self, to: SocketAddr) {
        let end = match self.connect(to).await {
            Ok(stream) => self.greet_and_carry(stream, to).await,
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

    async fn greet_and_carry(&self, stream: TcpStream, to: SocketAddr) -> LinkEnd {
        let (mut sink, stream) = self.frame(stream).split();
        let greeting = heartbeat(Some(self.context.settings.listen));
        if let Err(end) = self.write(&mut sink, greeting).await {
            return end;
        }
        let idle = self.context.settings.idle_close.as_duration();
        self.carry(sink, stream, to, idle).await
    }

    /// Waits for the first frame of an accepted connection, then carries messages until the end.
    pub(crate) async fn accept(self, stream: TcpStream, remote: SocketAddr) {
        let (sink, mut stream) = self.frame(stream).split();
        let end = match self.await_greeting(&mut stream).await {
            Ok(peer) => {
                telemetry::count_opened("in");
                self.report(LinkReport::Greeted { id: self.id, peer });
                let idle = self.context.settings.idle_close.as_duration();
                let idle = idle + ACCEPTED_IDLE_MARGIN;
                self.carry(sink, stream, peer, idle).await
            }
            Err(end) => end,
        };
        self.report_end(end, remote);
    }

    async fn await_greeting(&self, stream: &mut FrameStream) -> Result<SocketAddr, LinkEnd> {
        let limit = self.context.settings.greeting_timeout.as_duration();
        let first = timeout(limit, stream.next())
            .await
            .map_err(|_| LinkEnd::NoGreeting)?
            .ok_or(LinkEnd::ClosedByPeer)??;
        telemetry::count_received(&first);
        self.clock.note_received(&first);
        let listen = match first.body {
            Some(PeerBody::Heartbeat(heartbeat)) => heartbeat.listen,
            _ => None,
        };
        listen
            .and_then(|listen| listen.parse().ok())
            .ok_or(LinkEnd::NoGreeting)
    }

    fn frame(&self, stream: TcpStream) -> Framed<TcpStream, FrameCodec> {
        Framed::new(stream, FrameCodec::new(self.context.key.clone()))
    }

    async fn carry(
        &self,
        sink: FrameSink,
        stream: FrameStream,
        peer: SocketAddr,
        idle: Duration,
    ) -> LinkEnd {
        tokio::select! {
            end = self.write_queue(sink) => end,
            end = self.read(stream, peer) => end,
            end = self.watch(idle) => end,
        }
    }

    /// Writes queued messages, and heartbeats while there are none.
    async fn write_queue(&self, mut sink: FrameSink) -> LinkEnd {
        let interval = self.context.settings.heartbeat_interval.as_duration();
        loop {
            let next = self.clock.last_sent.get() + interval;
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
        let limit = self.context.settings.silence_limit.as_duration();
        self.clock.note_sending(&message);
        telemetry::count_sent(&message);
        match timeout(limit, sink.send(message)).await {
            // The message was rejected before a byte was written, so the connection stays usable.
            Ok(Err(error @ FrameError::TooLarge)) => {
                log::error!("dropping a message to a peer: {error}");
                telemetry::count_dropped(1, "too_large");
                Ok(())
            }
            Ok(result) => result.map_err(LinkEnd::from),
            Err(_) => Err(LinkEnd::Stalled),
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
            self.clock.note_received(&message);
            if is_heartbeat(&message) {
                continue;
            }
            let from = peer;
            let event = TransportEvent::Received { from, message };
            // A full channel holds back this connection only. The receiver is gone when the
            // daemon stops; then the message has no reader.
            if self.context.events.send_async(event).await.is_err() {
                return LinkEnd::Stopped;
            }
        }
    }

    /// Ends the connection when it is silent or idle.
    async fn watch(&self, idle: Duration) -> LinkEnd {
        let limit = self.context.settings.silence_limit.as_duration();
        let pause = limit.min(idle) / CHECKS_PER_LIMIT;
        loop {
            sleep(pause).await;
            let now = Instant::now();
            match self.clock.unanswered.get() {
                Some(since) if now - since.max(self.clock.last_received.get()) >= limit => {
                    return LinkEnd::Silent;
                }
                Some(_) => {}
                None => {
                    let quiet = now - self.clock.last_message.get() >= idle;
                    if quiet && self.outgoing.is_empty() {
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
                rejections.note(error.cause(), remote, &error.to_string());
            }
            LinkEnd::NoGreeting => {
                rejections.note("no_greeting", remote, &end.to_string());
            }
            _ => log::debug!("the peer connection with {remote} ended: {end}"),
        }
        self.report(LinkReport::Ended { id: self.id, end });
    }

    fn report(&self, report: LinkReport) {
        // The hub outlives its tasks except at the very end, when nothing is left to report to.
        if self.context.reports.send(report).is_err() {
            log::debug!("a peer connection ended after the transport");
        }
    }
}
