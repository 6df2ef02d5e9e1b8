//! Tests that the codec decodes its own frames and rejects all others with the right cause.

use bytes::BytesMut;
use hmac::Hmac;
use hmac::Mac;
use jaysaddle_wire::ClusterKey;
use jaysaddle_wire::FrameCodec;
use jaysaddle_wire::FrameError;
use jaysaddle_wire::codec::HEADER_BYTES;
use jaysaddle_wire::codec::LENGTH_BYTES;
use jaysaddle_wire::codec::MAX_PAYLOAD_BYTES;
use jaysaddle_wire::codec::PROTOCOL_VERSION;
use jaysaddle_wire::messages::DocumentReplyMessage;
use jaysaddle_wire::messages::PeerBody;
use jaysaddle_wire::messages::PeerMessage;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use sha2::Sha256;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

const GENERATOR_SEED: u64 = 20_261_203;

fn codec() -> FrameCodec {
    FrameCodec::new(ClusterKey::new("cluster"))
}

fn message(value: String) -> PeerMessage {
    PeerMessage {
        from_id: "entry-1".to_owned(),
        from_incarnation: 7,
        body: Some(PeerBody::DocumentReply(DocumentReplyMessage {
            name: "rules".to_owned(),
            version: 3,
            value,
        })),
    }
}

fn encoded(message: &PeerMessage) -> BytesMut {
    let mut bytes = BytesMut::new();
    let result = codec().encode(message.clone(), &mut bytes);
    assert!(result.is_ok(), "{result:?}");
    bytes
}

/// Decodes all messages of a stream that ends after `bytes`.
fn decode_all(codec: &mut FrameCodec, bytes: &[u8]) -> Result<Vec<PeerMessage>, FrameError> {
    let mut source = BytesMut::from(bytes);
    let mut messages = Vec::new();
    while let Some(message) = codec.decode(&mut source)? {
        messages.push(message);
    }
    while let Some(message) = codec.decode_eof(&mut source)? {
        messages.push(message);
    }
    Ok(messages)
}

fn cause(result: Result<Vec<PeerMessage>, FrameError>) -> &'static str {
    result.map_or_else(|error| error.cause(), |_| "none")
}

/// Guards against messages that are changed or lost when reads split the stream at any position.
#[test]
fn messages_are_decoded_from_any_fragmentation() {
    fn property(values: Vec<String>, extra_bytes: u8) -> bool {
        let sent: Vec<PeerMessage> = values.into_iter().map(message).collect();
        let mut stream = BytesMut::new();
        for message in &sent {
            stream.extend_from_slice(&encoded(message));
        }
        let mut codec = codec();
        let mut source = BytesMut::new();
        let mut received = Vec::new();
        for fragment in stream.chunks(usize::from(extra_bytes) + 1) {
            source.extend_from_slice(fragment);
            while let Ok(Some(message)) = codec.decode(&mut source) {
                received.push(message);
            }
        }
        received == sent && matches!(codec.decode_eof(&mut source), Ok(None))
    }
    println!("generator seed {GENERATOR_SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, GENERATOR_SEED))
        .quickcheck(property as fn(Vec<String>, u8) -> bool);
}

/// Guards against treating the end of a stream inside a frame as a clean end.
#[test]
fn truncated_frame_is_rejected() {
    let bytes = encoded(&message("value".to_owned()));
    for length in 1..bytes.len() {
        let result = decode_all(&mut codec(), &bytes[..length]);
        assert_eq!(cause(result), "cut_short", "truncated after {length} bytes");
    }
}

/// Guards against missing a truncation when the length prefix was consumed by an earlier read.
#[test]
fn truncation_after_length_prefix_is_rejected() {
    let bytes = encoded(&message("value".to_owned()));
    let mut codec = codec();
    let mut source = BytesMut::from(&bytes[..LENGTH_BYTES]);
    assert!(matches!(codec.decode(&mut source), Ok(None)));
    let end = codec.decode_eof(&mut source);
    assert!(matches!(end, Err(FrameError::Truncated)), "{end:?}");
}

/// Guards against reading beyond a frame that is shorter than its header.
#[test]
fn frame_shorter_than_header_is_rejected() {
    for length in 0..HEADER_BYTES as u8 {
        let mut bytes = vec![0, 0, 0, length];
        bytes.extend(vec![1; usize::from(length)]);
        assert_eq!(cause(decode_all(&mut codec(), &bytes)), "cut_short");
    }
}

/// Guards against decoding a frame of another protocol version with this version's layout.
#[test]
fn other_version_is_rejected() {
    let mut bytes = encoded(&message("value".to_owned()));
    bytes[LENGTH_BYTES] = 2;
    let result = decode_all(&mut codec(), &bytes);
    assert!(
        matches!(result, Err(FrameError::WrongVersion { found: 2 })),
        "{result:?}"
    );
}

/// Guards against accepting frames of another cluster.
#[test]
fn other_cluster_key_is_rejected() {
    let bytes = encoded(&message("value".to_owned()));
    let mut other = FrameCodec::new(ClusterKey::new("other"));
    assert_eq!(cause(decode_all(&mut other, &bytes)), "wrong_key");
}

/// Guards against accepting an authenticated frame whose payload is not a peer message.
#[test]
fn undecodable_payload_is_rejected() {
    let payload = [0xff; 8];
    let mut mac = Hmac::<Sha256>::new_from_slice(b"cluster").expect("any length is valid");
    mac.update(&[PROTOCOL_VERSION]);
    mac.update(&payload);
    let tag = mac.finalize().into_bytes();
    let mut bytes = vec![0, 0, 0, (HEADER_BYTES + payload.len()) as u8];
    bytes.push(PROTOCOL_VERSION);
    bytes.extend_from_slice(&tag[..HEADER_BYTES - 1]);
    bytes.extend_from_slice(&payload);
    assert_eq!(cause(decode_all(&mut codec(), &bytes)), "undecodable");
}

/// Guards against accepting altered frames: flipping any single bit after the length prefix must
/// lead to a rejection.
#[test]
fn altered_bytes_are_rejected() {
    let original = encoded(&message("value".to_owned()));
    for bit in LENGTH_BYTES * 8..original.len() * 8 {
        let mut bytes = original.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        let found = cause(decode_all(&mut codec(), &bytes));
        assert!(
            matches!(found, "wrong_key" | "wrong_version"),
            "bit {bit}: {found}"
        );
    }
}

/// Guards against a length prefix that makes the receiver allocate an unlimited amount of memory.
#[test]
fn oversized_frame_is_rejected_by_length() {
    let length = (HEADER_BYTES + MAX_PAYLOAD_BYTES + 1) as u32;
    let bytes = length.to_be_bytes();
    assert_eq!(cause(decode_all(&mut codec(), &bytes)), "too_large");
    let mut target = BytesMut::new();
    let result = codec().encode(message("x".repeat(MAX_PAYLOAD_BYTES)), &mut target);
    assert!(matches!(result, Err(FrameError::TooLarge)), "{result:?}");
    assert!(target.is_empty());
}

/// Guards against a frame limit that is too small for the largest stored object.
#[test]
fn largest_object_fits_in_frame() {
    let sent = message("x".repeat(1 << 20));
    let received = decode_all(&mut codec(), &encoded(&sent));
    assert!(received.is_ok_and(|messages| messages == [sent]));
}

/// Guards against panicking on arbitrary bytes or accepting them as a message.
#[test]
fn arbitrary_bytes_are_rejected() {
    fn property(bytes: Vec<u8>) -> bool {
        let result = decode_all(&mut codec(), &bytes);
        result.is_err() || bytes.is_empty()
    }
    println!("generator seed {GENERATOR_SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, GENERATOR_SEED))
        .tests(1000)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

/// Guards against printing the key in logs.
#[test]
fn debug_output_hides_the_key() {
    assert!(!format!("{:?}", codec()).contains("cluster\""));
    assert_eq!(
        format!("{:?}", ClusterKey::new("secret")),
        "ClusterKey(hidden)"
    );
}
