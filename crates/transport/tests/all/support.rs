//! Transports under test and scripted peers.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use jaysaddle_transport::PeerTransport;
use jaysaddle_transport::TransportCommand;
use jaysaddle_transport::TransportEvent;
use jaysaddle_transport::TransportSettings;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_wire::ClusterKey;
use jaysaddle_wire::FrameCodec;
use jaysaddle_wire::messages::AckMessage;
use jaysaddle_wire::messages::HeartbeatMessage;
use jaysaddle_wire::messages::PeerBody;
use jaysaddle_wire::messages::PeerMessage;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

/// Timeout for events that a test expects.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

pub fn key() -> ClusterKey {
    ClusterKey::new("cluster")
}

/// Settings with timeouts short enough for tests.
pub fn test_settings() -> TransportSettings {
    TransportSettings {
        listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        heartbeat_interval: TimeSpan::from_millis(100),
        stall_timeout: TimeSpan::from_millis(400),
        idle_timeout: TimeSpan::from_secs(30),
        handshake_timeout: TimeSpan::from_secs(3),
        ..TransportSettings::default()
    }
}

/// A running transport and the test's ends of its channels.
pub struct Peer {
    pub commands: flume::Sender<TransportCommand>,
    pub events: flume::Receiver<TransportEvent>,
    pub transport: PeerTransport,
}

impl Peer {
    pub fn start(settings: TransportSettings) -> Self {
        let (commands, received) = flume::unbounded();
        let (sender, events) = flume::unbounded();
        let transport = PeerTransport::start(settings, key(), received, sender)
            .expect("a loopback port is free");
        Self {
            commands,
            events,
            transport,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.transport.address()
    }

    pub fn command(&self, command: TransportCommand) {
        self.commands.send(command).expect("the transport runs");
    }

    pub fn send(&self, to: SocketAddr, nonce: u64) {
        let message = message(nonce);
        self.command(TransportCommand::Send { to, message });
    }

    /// Returns the next event, or `None` if there is none within `time`.
    pub fn next_event(&self, time: Duration) -> Option<TransportEvent> {
        self.events.recv_timeout(time).ok()
    }

    /// Waits for the message with this nonce and returns the listen address of its sender.
    pub fn expect(&self, nonce: u64) -> SocketAddr {
        let deadline = Instant::now() + EVENT_TIMEOUT;
        while let Some(event) = self.next_event(deadline.saturating_duration_since(Instant::now()))
        {
            if let TransportEvent::Received {
                from,
                message: received,
            } = event
                && received == message(nonce)
            {
                return from;
            }
        }
        panic!("message {nonce} did not arrive");
    }

    pub fn expect_failure(&self, to: SocketAddr) {
        let deadline = Instant::now() + EVENT_TIMEOUT;
        while let Some(event) = self.next_event(deadline.saturating_duration_since(Instant::now()))
        {
            if event == (TransportEvent::Failed { to }) {
                return;
            }
        }
        panic!("the failure of {to} was not reported");
    }

    pub fn stop(self) {
        self.command(TransportCommand::Stop);
        self.transport.join();
    }
}

pub fn message(nonce: u64) -> PeerMessage {
    PeerMessage {
        from_id: "entry-1".to_owned(),
        from_incarnation: 1,
        body: Some(PeerBody::Ack(AckMessage {
            nonce,
            ..AckMessage::default()
        })),
    }
}

pub fn heartbeat(listen: Option<SocketAddr>) -> PeerMessage {
    let listen = listen.map(|address| address.to_string());
    PeerMessage {
        body: Some(PeerBody::Heartbeat(HeartbeatMessage { listen })),
        ..PeerMessage::default()
    }
}

pub fn encoded(message: PeerMessage, key: ClusterKey) -> Vec<u8> {
    let mut bytes = BytesMut::new();
    let result = FrameCodec::new(key).encode(message, &mut bytes);
    assert!(result.is_ok(), "{result:?}");
    bytes.to_vec()
}

/// A peer that the test scripts frame by frame.
pub struct RawPeer {
    stream: TcpStream,
    codec: FrameCodec,
    buffer: BytesMut,
}

impl RawPeer {
    pub fn new(stream: TcpStream) -> Self {
        let timeout = stream.set_read_timeout(Some(EVENT_TIMEOUT));
        assert!(timeout.is_ok(), "{timeout:?}");
        Self {
            stream,
            codec: FrameCodec::new(key()),
            buffer: BytesMut::new(),
        }
    }

    pub fn connect(to: SocketAddr) -> Self {
        Self::new(TcpStream::connect(to).expect("the transport listens"))
    }

    pub fn accept(listener: &TcpListener) -> Self {
        let (stream, _) = listener.accept().expect("the transport connects");
        Self::new(stream)
    }

    pub fn write(&mut self, bytes: &[u8]) {
        // The transport may have closed the connection already, which the next read shows.
        let _ = self.stream.write_all(bytes);
    }

    pub fn send(&mut self, message: PeerMessage) {
        self.write(&encoded(message, key()));
    }

    pub fn finish_writing(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }

    /// Returns the next frame, or `None` if the transport has closed the connection.
    pub fn read(&mut self) -> Option<PeerMessage> {
        let mut bytes = [0; 4096];
        loop {
            if let Ok(Some(message)) = self.codec.decode(&mut self.buffer) {
                return Some(message);
            }
            match self.stream.read(&mut bytes) {
                Ok(0) => return None,
                Ok(count) => self.buffer.extend_from_slice(&bytes[..count]),
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(error) => panic!("the transport neither sends nor closes: {error}"),
            }
        }
    }

    /// Returns the next frame that is not a heartbeat.
    pub fn read_message(&mut self) -> Option<PeerMessage> {
        loop {
            let message = self.read()?;
            if !matches!(message.body, Some(PeerBody::Heartbeat(_))) {
                return Some(message);
            }
        }
    }
}

pub fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a loopback port is free");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    (listener, address)
}
