//! Framing: length, protocol version, authentication tag and a `prost` payload.

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

/// Version of the protocol; raised when daemons of the previous version cannot read the new one.
pub const PROTOCOL_VERSION: u8 = 1;

/// Size of version and tag, which precede the payload, in bytes.
pub const HEADER_BYTES: usize = 1 + TAG_BYTES;

/// Maximum size of a payload, in bytes. Stored objects are at most 1 MiB; the rest leaves room for
/// the fields around one.
pub const MAX_PAYLOAD_BYTES: usize = (1 << 20) + (16 << 10);

/// Size of the length prefix of each frame, in bytes.
pub const LENGTH_BYTES: usize = 4;

/// Reason for rejecting a frame. Every error ends the connection, because the position of the next
/// frame can no longer be trusted.
#[derive(Debug)]
pub enum FrameError {
    /// The connection failed.
    Io(io::Error),
    /// The stream ended inside a frame, or a frame is shorter than its header.
    Truncated,
    /// The frame has another protocol version.
    WrongVersion {
        /// Version of the frame.
        found: u8,
    },
    /// The tag does not match: the sender uses another cluster key, or the bytes were altered.
    WrongKey,
    /// The payload cannot be decoded as a peer message.
    Undecodable(DecodeError),
    /// The payload exceeds [`MAX_PAYLOAD_BYTES`].
    TooLarge,
}

impl FrameError {
    /// Returns the stable name of the error, as used in metric labels.
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
            FrameError::Truncated => f.write_str("the frame is truncated"),
            FrameError::WrongVersion { found } => write!(
                f,
                "the frame has protocol version {found}, expected {PROTOCOL_VERSION}"
            ),
            FrameError::WrongKey => {
                f.write_str("the frame's tag does not match; check that all nodes use one key")
            }
            FrameError::Undecodable(error) => write!(f, "the payload cannot be decoded: {error}"),
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

/// Encodes and decodes peer messages as frames.
#[derive(Clone, Debug)]
pub struct FrameCodec {
    key: ClusterKey,
    length_codec: LengthDelimitedCodec,
    /// Whether the length of a frame was read but not yet its end. The length decoder removes the
    /// length from the buffer, so an empty buffer alone does not show that no frame is pending.
    in_frame: bool,
}

impl FrameCodec {
    /// Creates a codec that authenticates frames with the cluster's key.
    pub fn new(key: ClusterKey) -> Self {
        let length_codec = LengthDelimitedCodec::builder()
            .length_field_length(LENGTH_BYTES)
            .max_frame_length(HEADER_BYTES + MAX_PAYLOAD_BYTES)
            .new_codec();
        Self {
            key,
            length_codec,
            in_frame: false,
        }
    }

    /// Returns the size of `message` as a frame, in bytes.
    pub fn frame_bytes(message: &PeerMessage) -> usize {
        LENGTH_BYTES + HEADER_BYTES + message.encoded_len()
    }

    fn decode_frame(&self, frame: &[u8]) -> Result<PeerMessage, FrameError> {
        // The version is checked first, because another version may use a different layout for the
        // rest of the frame.
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
        let length_before = source.len();
        let Some(frame) = self.length_codec.decode(source)? else {
            self.in_frame |= source.len() < length_before;
            return Ok(None);
        };
        self.in_frame = false;
        self.decode_frame(&frame).map(Some)
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
        self.length_codec.encode(Bytes::from(frame), target)?;
        Ok(())
    }
}
