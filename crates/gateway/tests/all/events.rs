//! Splitting of event streams.

use jaysaddle_gateway::events::EventBuffer;
use jaysaddle_gateway::events::EventError;
use quickcheck::quickcheck;

fn event(id: u64) -> Vec<u8> {
    format!("id: {id}\ndata: token {id}\n\n").into_bytes()
}

/// Guards against forwarding a truncated event when a backend server stops in the middle of it.
#[test]
fn only_complete_events_are_returned() {
    let mut buffer = EventBuffer::default();
    let first = event(1);
    assert!(buffer.push(&first[..7]).expect("no error").is_empty());
    assert!(buffer.has_partial());
    assert_eq!(buffer.push(&first[7..]).expect("no error"), first);
    assert_eq!(buffer.last_id(), Some(1));
    assert!(!buffer.has_partial());
}

/// Guards against events that are lost because they arrived together with the gap at which the stream is resumed.
#[test]
fn events_before_a_gap_are_not_lost() {
    let mut buffer = EventBuffer::resume_after(Some(2));
    let data: Vec<u8> = [3, 4, 6].into_iter().flat_map(event).collect();
    let error = buffer.push(&data).expect_err("a gap");
    assert_eq!(
        error,
        EventError::Gap {
            last: 4,
            received: 6
        }
    );
    assert_eq!(buffer.last_id(), Some(2));
}

/// Guards against an event without end that takes memory until its stream ends.
#[test]
fn event_without_end_is_an_error() {
    const MAX_BYTES: usize = 512 << 10;
    let mut buffer = EventBuffer::default();
    let piece = [b'a'; 1000];
    let mut pieces = 0..MAX_BYTES / piece.len();
    let error = pieces.find_map(|_| buffer.push(&piece).err());
    assert!(
        matches!(error, Some(EventError::TooLong { .. })),
        "{error:?}"
    );
    assert!(buffer.pending_bytes() <= 2 * MAX_BYTES);
    buffer.discard_partial();
    assert_eq!(buffer.pending_bytes(), 0);
    assert_eq!(buffer.push(&event(1)).expect("no error"), event(1));
}

/// Guards against a stream that never ends because its events were all returned before.
#[test]
fn same_event_without_end_is_an_error() {
    const MAX_BYTES: usize = 8 << 20;
    let mut buffer = EventBuffer::default();
    let count = MAX_BYTES / event(1).len();
    let error = (0..count).find_map(|_| buffer.push(&event(1)).err());
    assert!(
        matches!(error, Some(EventError::Repeated { .. })),
        "{error:?}"
    );
    buffer.discard_partial();
    assert_eq!(buffer.push(&event(2)).expect("no error"), event(2));
}

/// Guards against an end that is missed where the parts of a stream meet.
#[test]
fn end_is_found_across_parts() {
    for end in ["\n\n", "\r\n\r\n"] {
        let data = format!("id: 1\ndata: a\r\ndata: b{end}");
        for first in 0..data.len() {
            for second in first..data.len() {
                let mut buffer = EventBuffer::default();
                let parts = [&data[..first], &data[first..second], &data[second..]];
                let returned: Vec<u8> = parts
                    .iter()
                    .flat_map(|part| buffer.push(part.as_bytes()).expect("no error"))
                    .collect();
                assert_eq!(returned, data.as_bytes(), "{first} {second}");
                assert!(!buffer.has_partial());
            }
        }
    }
}

/// Guards against duplicate events when a stream is resumed at another group.
#[test]
fn already_delivered_events_are_skipped() {
    let mut buffer = EventBuffer::resume_after(Some(2));
    let mut data = event(2);
    data.extend(event(3));
    assert_eq!(buffer.push(&data).expect("no error"), event(3));
}

/// Guards against a gap in the response when another group resumes the stream at a later event.
#[test]
fn missing_event_is_an_error() {
    let mut buffer = EventBuffer::resume_after(Some(2));
    let error = buffer.push(&event(5)).expect_err("a gap");
    assert_eq!(
        error,
        EventError::Gap {
            last: 2,
            received: 5
        }
    );
}

#[test]
fn lf_and_crlf_both_terminate_events() {
    let mut buffer = EventBuffer::default();
    let data = b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n";
    assert_eq!(buffer.push(data).expect("no error"), &data[..]);
    assert_eq!(buffer.last_id(), Some(2));
}

quickcheck! {
    /// Guards against lost or duplicated bytes at chunk boundaries.
    fn any_chunking_yields_the_same_bytes(count: u8, cuts: Vec<usize>) -> bool {
        let data: Vec<u8> = (1..=u64::from(count)).flat_map(event).collect();
        let mut positions: Vec<usize> = cuts
            .into_iter()
            .map(|cut| cut % (data.len() + 1))
            .chain([0, data.len()])
            .collect();
        positions.sort_unstable();
        let mut buffer = EventBuffer::default();
        let mut out = Vec::new();
        for pair in positions.windows(2) {
            match buffer.push(&data[pair[0]..pair[1]]) {
                Ok(ready) => out.extend_from_slice(&ready),
                Err(_) => return false,
            }
        }
        out == data && !buffer.has_partial()
    }
}

/// Guards against the text of a failure, or a whole response head, that is forwarded in the middle of a stream, and against comments
/// that end one.
#[test]
fn data_without_an_id_between_events_is_an_error() {
    let mut buffer = EventBuffer::default();
    assert_eq!(
        &buffer.push(b"id: 1\ndata: a\n\n").expect("an event")[..],
        b"id: 1\ndata: a\n\n"
    );
    assert_eq!(
        &buffer.push(b": ping\n\n").expect("a comment")[..],
        b": ping\n\n"
    );
    let mixed = b"id: 2\ndata: b\n\nHTTP/1.1 500 Error\r\n\r\nfailed\n\n";
    assert_eq!(
        &buffer.push(mixed).expect("the event before")[..],
        b"id: 2\ndata: b\n\n"
    );
    assert_eq!(buffer.push(b""), Err(EventError::Foreign));
    let mut resumed = EventBuffer::resume_after(Some(4));
    assert_eq!(resumed.push(b"overloaded\n\n"), Err(EventError::Foreign));
}
