//! Conversions between the ledger's types and peer messages.

use compact_str::CompactString;
use jaysaddle_ledger::LedgerAnswer;
use jaysaddle_ledger::LedgerQuery;
use jaysaddle_ledger::LedgerSnapshot;
use jaysaddle_ledger::SnapshotEntry;
use jaysaddle_ledger::SnapshotState;
use jaysaddle_ledger::StoredResponse;
use jaysaddle_types::answer_status::AnswerStatus;
use jaysaddle_types::ids::CallId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::request::BodyFingerprint;
use jaysaddle_types::request::HomeToken;
use jaysaddle_types::units::Timestamp;
use jaysaddle_wire::messages::HandoverAckMessage;
use jaysaddle_wire::messages::LedgerAnswerMessage;
use jaysaddle_wire::messages::LedgerEntryMessage;
use jaysaddle_wire::messages::LedgerHandoverMessage;
use jaysaddle_wire::messages::LedgerQueryMessage;
use jaysaddle_wire::messages::NodeRun;
use jaysaddle_wire::messages::PeerBody;
use jaysaddle_wire::messages::PeerMessage;

/// Maximum size of a handover part in bytes of stored responses; well below the frame size limit.
const MAX_PART_BYTES: usize = 256 * 1024;

/// Maximum number of claims in a handover part.
const MAX_PART_ENTRIES: usize = 2000;

const ANSWER_GRANTED: u32 = 0;
const ANSWER_STORED: u32 = 1;
const ANSWER_RUNNING: u32 = 2;
const ANSWER_MAY_HAVE_RUN: u32 = 3;
const ANSWER_EXPIRED: u32 = 4;
const ANSWER_CONFLICT: u32 = 5;
const ENTRY_GRANTED: u32 = 6;

fn encode_node(key: &NodeKey) -> NodeRun {
    NodeRun {
        id: key.id.as_str().to_owned(),
        incarnation: key.incarnation.0,
    }
}

fn decode_node(run: &NodeRun) -> Option<NodeKey> {
    Some(NodeKey {
        id: run.id.parse().ok()?,
        incarnation: Incarnation(run.incarnation),
    })
}

fn decode_fingerprint(bytes: &[u8]) -> Option<BodyFingerprint> {
    bytes.try_into().ok().map(BodyFingerprint)
}

/// Decodes a stored response; `None` if its status is that of no answer, so that the request has run without one.
fn decode_stored_response(
    status: u32,
    content_type: String,
    body: Vec<u8>,
) -> Option<StoredResponse> {
    Some(StoredResponse {
        status: AnswerStatus::new(status).ok()?.code(),
        content_type: CompactString::from(content_type),
        body: body.into(),
    })
}

/// Returns the node incarnation that sent a message, or `None` when its id is invalid.
pub fn decode_sender(message: &PeerMessage) -> Option<NodeKey> {
    decode_node(&NodeRun {
        id: message.from_id.clone(),
        incarnation: message.from_incarnation,
    })
}

/// Encodes a query as a message body.
pub fn encode_query(query: &LedgerQuery) -> PeerBody {
    PeerBody::LedgerQuery(LedgerQueryMessage {
        call: query.call.0,
        account: query.account.as_str().to_owned(),
        key: query.key.as_str().to_owned(),
        fingerprint: query.fingerprint.0.to_vec(),
        home: Some(encode_node(&query.home.node)),
        issued: query.home.issued.0,
    })
}

/// Decodes a query; `None` when a field is invalid.
pub fn decode_query(message: LedgerQueryMessage) -> Option<LedgerQuery> {
    Some(LedgerQuery {
        call: CallId(message.call),
        account: message.account.parse().ok()?,
        key: message.key.parse().ok()?,
        fingerprint: decode_fingerprint(&message.fingerprint)?,
        home: HomeToken {
            node: decode_node(&message.home?)?,
            issued: Timestamp(message.issued),
        },
    })
}

/// Encodes the answer to the query `call` as a message body.
pub fn encode_answer(call: CallId, answer: &LedgerAnswer) -> PeerBody {
    let kind = match answer {
        LedgerAnswer::Granted => ANSWER_GRANTED,
        LedgerAnswer::Stored(_) => ANSWER_STORED,
        LedgerAnswer::Running => ANSWER_RUNNING,
        LedgerAnswer::MayHaveRun => ANSWER_MAY_HAVE_RUN,
        LedgerAnswer::Expired => ANSWER_EXPIRED,
        LedgerAnswer::Conflict => ANSWER_CONFLICT,
    };
    let mut message = LedgerAnswerMessage {
        call: call.0,
        kind,
        ..LedgerAnswerMessage::default()
    };
    if let LedgerAnswer::Stored(stored) = answer {
        message.status = u32::from(stored.status);
        message.content_type = stored.content_type.as_str().to_owned();
        message.body = stored.body.to_vec();
    }
    PeerBody::LedgerAnswer(message)
}

/// Decodes an answer and the query that it belongs to; `None` when a field is invalid.
pub fn decode_answer(message: LedgerAnswerMessage) -> Option<(CallId, LedgerAnswer)> {
    let answer = match message.kind {
        ANSWER_GRANTED => LedgerAnswer::Granted,
        ANSWER_STORED => decode_stored_response(message.status, message.content_type, message.body)
            .map_or(LedgerAnswer::MayHaveRun, LedgerAnswer::Stored),
        ANSWER_RUNNING => LedgerAnswer::Running,
        ANSWER_MAY_HAVE_RUN => LedgerAnswer::MayHaveRun,
        ANSWER_EXPIRED => LedgerAnswer::Expired,
        ANSWER_CONFLICT => LedgerAnswer::Conflict,
        _ => return None,
    };
    Some((CallId(message.call), answer))
}

/// Encodes the acknowledgement of a handover part.
pub fn encode_ack(message: &LedgerHandoverMessage) -> PeerBody {
    PeerBody::HandoverAck(HandoverAckMessage {
        home: message.home.clone(),
        part: message.part,
    })
}

fn encode_entry(entry: SnapshotEntry) -> LedgerEntryMessage {
    let mut message = LedgerEntryMessage {
        account: entry.account.as_str().to_owned(),
        key: entry.key.as_str().to_owned(),
        fingerprint: entry.fingerprint.0.to_vec(),
        ..LedgerEntryMessage::default()
    };
    match entry.state {
        SnapshotState::Stored(stored) => {
            message.kind = ANSWER_STORED;
            message.status = u32::from(stored.status);
            message.content_type = stored.content_type.as_str().to_owned();
            message.body = stored.body.to_vec();
        }
        SnapshotState::MayHaveRun => message.kind = ANSWER_MAY_HAVE_RUN,
        SnapshotState::Granted { to } => {
            message.kind = ENTRY_GRANTED;
            message.granted_to = Some(encode_node(&to));
        }
    }
    message
}

fn decode_entry(message: LedgerEntryMessage) -> Option<SnapshotEntry> {
    let state = match message.kind {
        ANSWER_STORED => decode_stored_response(message.status, message.content_type, message.body)
            .map_or(SnapshotState::MayHaveRun, SnapshotState::Stored),
        ENTRY_GRANTED => SnapshotState::Granted {
            to: decode_node(&message.granted_to?)?,
        },
        // Unknown kinds come from later versions. Treating the request as may have run is safe.
        _ => SnapshotState::MayHaveRun,
    };
    Some(SnapshotEntry {
        account: message.account.parse().ok()?,
        key: message.key.parse().ok()?,
        fingerprint: decode_fingerprint(&message.fingerprint)?,
        state,
    })
}

/// Splits a snapshot into messages; an empty snapshot yields one message.
pub fn split_snapshot(snapshot: LedgerSnapshot) -> Vec<LedgerHandoverMessage> {
    let mut chunks: Vec<Vec<LedgerEntryMessage>> = vec![Vec::new()];
    let mut bytes = 0;
    for entry in snapshot.entries {
        let message = encode_entry(entry);
        let full = chunks.last().is_some_and(|chunk| {
            chunk.len() >= MAX_PART_ENTRIES || bytes + message.body.len() > MAX_PART_BYTES
        });
        if full {
            chunks.push(Vec::new());
            bytes = 0;
        }
        bytes += message.body.len();
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(message);
        }
    }
    let parts = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
    (0..)
        .zip(chunks)
        .map(|(part, entries)| LedgerHandoverMessage {
            home: Some(encode_node(&snapshot.home)),
            part,
            parts,
            covered_from: snapshot.covered_from.0,
            home_now: snapshot.home_now.0,
            entries,
        })
        .collect()
}

/// Joins the parts of a snapshot; `None` when any part or entry is invalid, because a request whose
/// claim was dropped could run a second time.
pub fn join_snapshot(parts: Vec<LedgerHandoverMessage>) -> Option<LedgerSnapshot> {
    let first = parts.first()?;
    let mut snapshot = LedgerSnapshot {
        home: decode_node(first.home.as_ref()?)?,
        covered_from: Timestamp(first.covered_from),
        home_now: Timestamp(first.home_now),
        entries: Vec::new(),
    };
    for part in parts {
        for entry in part.entries {
            snapshot.entries.push(decode_entry(entry)?);
        }
    }
    Some(snapshot)
}
