//! Framing: length, protocol version, tag and a `prost` payload.

use std::fmt;
use std::io;

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use prost::DecodeError;
use prost::Message;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::codec::LengthDelimitedCodecError;

use crate::key::ClusterKey;
use crate::key::TAG_BYTES;
use crate::messages::PeerMessage;

/// Version of the protocol; raised when daemons of the old version cannot read the new one.
pub const PROTOCOL_VERSION: u8 = 1;

/// Bytes of version and tag in front of the payload.
pub const HEADER_BYTES: usize = 1 + TAG_BYTES;

/// Largest payload. Stored objects are at most 1 MiB; the rest is room for the fields around one.
pub const MAX_PAYLOAD_BYTES: usize = (1 << 20) + (16 << 10);

/// Bytes of the length in front of each frame.
pub const LENGTH_BYTES: usize = 4;

/// Why a frame was not accepted. Every cause ends the connection, because the position of the next
/// frame is not trustworthy any more.
#[derive(Debug)]
pub enum FrameError {
    /// The connection failed.
    Io(io::Error),
    /// The stream ended inside a frame, or a frame is shorter than its header.
    Truncated,
    /// The frame is of another protocol version.
    WrongVersion {
        /// The version found.
        found: u8,
    },
    /// The tag does not match: another cluster's key, or altered bytes.
    WrongKey,
    /// The payload is not a peer message.
    Undecodable(DecodeError),
    /// The frame is larger than [`MAX_PAYLOAD_BYTES`] allows.
    TooLarge,
}

impl FrameError {
    /// The stable name of the cause, as used in metric labels.
    pub fn cause(&self) -> &'static str {
        match self {
            FrameError::Io(_) => "io",
            FrameError::Truncated => "cut_short",
            FrameError::WrongVersion { .. } => "wrong_version",
            FrameError::WrongKey => "wrong_key",
            FrameError::Undecodable(_) => "undecodable",
            FrameError::TooLarge => "too_large",
        }
    }
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Io(error) => write!(f, "the connection failed: {error}"),
            FrameError::Truncated => f.write_str("the frame is cut short"),
            FrameError::WrongVersion { found } => write!(
                f,
                "the frame has protocol version {found}, expected {PROTOCOL_VERSION}"
            ),
            FrameError::WrongKey => {
                f.write_str("the frame's tag does not match; check that all nodes use one key")
            }
            FrameError::Undecodable(error) => write!(f, "the payload is not valid: {error}"),
            FrameError::TooLarge => write!(
                f,
                "the frame's payload is larger than {MAX_PAYLOAD_BYTES} bytes"
            ),
        }
    }
}

impl std::error::Error for FrameError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            FrameError::Io(error) => Some(error),
            FrameError::Undecodable(error) => Some(error),
            _ => None,
        }
    }
}

impl From<io::Error> for FrameError {
    fn from(error: io::Error) -> Self {
        let too_large = error
            .get_ref()
            .is_some_and(|inner| inner.is::<LengthDelimitedCodecError>());
        if too_large {
            FrameError::TooLarge
        } else {
            FrameError::Io(error)
        }
    }
}

/// Reads and writes peer messages as frames.
#[derive(Clone, Debug)]
pub struct FrameCodec {
    key: ClusterKey,
    lengths: LengthDelimitedCodec,
    /// Whether the length of a frame was read and its end was not. The length decoder takes the
    /// length off the buffer, so an empty buffer alone does not show that no frame is pending.
    in_frame: bool,
}

impl FrameCodec {
    /// A codec with the key of the cluster.
    pub fn new(key: ClusterKey) -> Self {
        let lengths = LengthDelimitedCodec::builder()
            .length_field_length(LENGTH_BYTES)
            .max_frame_length(HEADER_BYTES + MAX_PAYLOAD_BYTES)
            .new_codec();
        Self {
            key,
            lengths,
            in_frame: false,
        }
    }

    /// Bytes that `message` takes on a connection.
    pub fn frame_bytes(message: &PeerMessage) -> usize {
        LENGTH_BYTES + HEADER_BYTES + message.encoded_len()
    }

    fn open(&self, frame: &[u8]) -> Result<PeerMessage, FrameError> {
        // The version is checked first: a later version may lay out the rest differently.
        let (&version, rest) = frame.split_first().ok_or(FrameError::Truncated)?;
        if version != PROTOCOL_VERSION {
            return Err(FrameError::WrongVersion { found: version });
        }
        let (tag, payload) = rest
            .split_at_checked(TAG_BYTES)
            .ok_or(FrameError::Truncated)?;
        if !self.key.verify(version, payload, tag) {
            return Err(FrameError::WrongKey);
        }
        PeerMessage::decode(payload).map_err(FrameError::Undecodable)
    }
}

impl Decoder for FrameCodec {
    type Item = PeerMessage;
    type Error = FrameError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<PeerMessage>, FrameError> {
        let before = source.len();
        let Some(frame) = self.lengths.decode(source)? else {
            self.in_frame |= source.len() < before;
            return Ok(None);
        };
        self.in_frame = false;
        self.open(&frame).map(Some)
    }

    fn decode_eof(&mut self, source: &mut BytesMut) -> Result<Option<PeerMessage>, FrameError> {
        match self.decode(source)? {
            Some(message) => Ok(Some(message)),
            None if self.in_frame || !source.is_empty() => Err(FrameError::Truncated),
            None => Ok(None),
        }
    }
}

impl Encoder<PeerMessage> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, message: PeerMessage, target: &mut BytesMut) -> Result<(), FrameError> {
        let payload = message.encode_to_vec();
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(FrameError::TooLarge);
        }
        let tag = self.key.tag(PROTOCOL_VERSION, &payload);
        let mut frame = BytesMut::with_capacity(HEADER_BYTES + payload.len());
        frame.put_u8(PROTOCOL_VERSION);
        frame.put_slice(&tag);
        frame.put_slice(&payload);
        self.lengths.encode(Bytes::from(frame), target)?;
        Ok(())
    }
}
