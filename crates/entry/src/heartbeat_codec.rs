//! Translates heartbeats to and from the messages that nodes exchange.

use eyre::WrapErr;
use jaysaddle_fleet::crash_report::CrashFact;
use jaysaddle_fleet::crash_report::PeerBlock;
use jaysaddle_fleet::crash_report::PieceScope;
use jaysaddle_fleet::crash_report::RunFate;
use jaysaddle_fleet::digest::NodeNumber;
use jaysaddle_fleet::digest::PeerDigest;
use jaysaddle_fleet::digest::ServerSent;
use jaysaddle_fleet::evacuation::EvacuationSet;
use jaysaddle_fleet::evacuation::MAX_EVACUATED;
use jaysaddle_fleet::lease::LeaseClaim;
use jaysaddle_fleet::lease::LeaseHandover;
use jaysaddle_fleet::leaving::LeavingServer;
use jaysaddle_fleet::peers::PeerHeartbeat;
use jaysaddle_fleet::peers::PeerLimit;
use jaysaddle_fleet::peers::PeerLoad;
use jaysaddle_fleet::peers::PeerPhase;
use jaysaddle_fleet::peers::PeerUnserved;
use jaysaddle_fleet::usage::ServiceUsage;
use jaysaddle_types::content::ContentKey;
use jaysaddle_types::ids::IdError;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::StoreEra;
use jaysaddle_types::ids::StoreRevision;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::ProcessorShare;
use jaysaddle_types::units::RequestLimit;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_wire::heartbeat::ContentBlockMessage;
use jaysaddle_wire::heartbeat::CrashFactMessage;
use jaysaddle_wire::heartbeat::DigestMessage;
use jaysaddle_wire::heartbeat::EvacuationMessage;
use jaysaddle_wire::heartbeat::LeaseHandoverMessage;
use jaysaddle_wire::heartbeat::LeaseMessage;
use jaysaddle_wire::heartbeat::LeavingMessage;
use jaysaddle_wire::heartbeat::LimitMessage;
use jaysaddle_wire::heartbeat::NodeHeartbeat;
use jaysaddle_wire::heartbeat::UsageMessage;
use jaysaddle_wire::heartbeat::WorkMessage;
use prost::Message;

fn encode_claim(claim: &LeaseClaim) -> LeaseMessage {
    LeaseMessage {
        term: claim.term.0,
        version: claim.version.0,
        remaining_ms: claim.remaining.as_millis(),
    }
}

fn decode_claim(message: &LeaseMessage) -> LeaseClaim {
    LeaseClaim {
        term: LeaseEpoch(message.term),
        version: ObjectVersion(message.version),
        remaining: TimeSpan(message.remaining_ms),
    }
}

/// Encodes a heartbeat without a digest.
pub fn encode_heartbeat(heartbeat: &PeerHeartbeat) -> Vec<u8> {
    let message = NodeHeartbeat {
        node: heartbeat.node.to_string(),
        incarnation: heartbeat.incarnation.0,
        failure_domain: heartbeat.failure_domain.to_string(),
        caller_address: heartbeat.caller_address.to_string(),
        peer_address: heartbeat.peer_address.to_string(),
        phase: match heartbeat.phase {
            PeerPhase::Starting => 0,
            PeerPhase::Serving => 1,
            PeerPhase::Stopping => 2,
            PeerPhase::CutOff => 3,
        },
        config_version: heartbeat.config_version,
        table_age_ms: heartbeat.table_age.as_millis(),
        is_store_unreachable: heartbeat.is_store_unreachable,
        lease: heartbeat.claim.as_ref().map(encode_claim),
        handover: heartbeat
            .handover
            .as_ref()
            .map(|handover| LeaseHandoverMessage {
                successor: handover.successor.id.to_string(),
                incarnation: handover.successor.incarnation.0,
                lease: Some(encode_claim(&handover.claim)),
            }),
        load_targets: heartbeat.loads.iter().map(|load| load.target).collect(),
        load_counts: heartbeat.loads.iter().map(|load| load.requests).collect(),
        late_counts: heartbeat.loads.iter().map(|load| load.late).collect(),
        stalled_targets: heartbeat.stalled_targets.clone(),
        work: heartbeat
            .work
            .iter()
            .map(|(model, work_ms)| WorkMessage {
                model: model.to_string(),
                work_ms: *work_ms,
            })
            .collect(),
        target_changes: heartbeat.target_changes,
        closed_targets: heartbeat.closed_targets.clone(),
        unserved_fingerprints: fingerprints(&heartbeat.unserved),
        unserved_times_left_ms: times_left(&heartbeat.unserved),
        limits: heartbeat.limits.iter().map(encode_limit).collect(),
        store_era: heartbeat.store_era.0,
        latest_term: heartbeat.latest_term.0,
        leaving: heartbeat
            .leaving
            .iter()
            .map(|server| LeavingMessage {
                server: server.id.to_string(),
                started: server.started,
            })
            .collect(),
        processor_permille: heartbeat.processor.0,
        is_relay: heartbeat.is_relay,
        digest: None,
        table_version: heartbeat.table_version,
        usage: encode_usage(&heartbeat.usage),
        crash_facts: heartbeat.crash_facts.iter().map(encode_fact).collect(),
        content_blocks: heartbeat.content_blocks.iter().map(encode_block).collect(),
        evacuations: heartbeat.evacuations.as_ref().map(encode_evacuations),
        unread_tokens: unread_tokens(&heartbeat.loads),
    };
    message.encode_to_vec()
}

/// Unread prompt tokens by load; empty if there are none, as at nodes that do not count them.
fn unread_tokens(loads: &[PeerLoad]) -> Vec<u32> {
    if loads.iter().all(|load| load.unread == 0) {
        return Vec::new();
    }
    loads.iter().map(|load| load.unread).collect()
}

fn fingerprints(unserved: &[PeerUnserved]) -> Vec<u32> {
    unserved.iter().map(|attempt| attempt.fingerprint).collect()
}

fn times_left(unserved: &[PeerUnserved]) -> Vec<u64> {
    let times = unserved.iter().map(|attempt| attempt.time_left);
    times.map(TimeSpan::as_millis).collect()
}

fn encode_usage(usage: &[ServiceUsage]) -> Vec<UsageMessage> {
    let usage = usage.iter().map(|usage| UsageMessage {
        service: usage.service,
        requests: usage.requests,
        retries: usage.retries,
    });
    usage.collect()
}

/// Maximum of a count in a heartbeat. Sums over thousands of peers stay within 32 bits.
const MAX_COUNT: u32 = 1 << 20;
/// Maximum age in a heartbeat.
const MAX_AGE: TimeSpan = TimeSpan::from_secs(24 * 3600);
/// Maximum version of a request limit, which leaves room for later ones.
const MAX_LIMIT_VERSION: u64 = 1 << 48;

fn bounded_count(count: u32) -> u32 {
    count.min(MAX_COUNT)
}

fn bounded_age(millis: u64) -> TimeSpan {
    TimeSpan(millis).min(MAX_AGE)
}

/// Decodes the items of a field one by one. Those with an id that is not valid are left out, with one log line for all.
fn valid_items<M, T>(
    field: &str,
    items: impl IntoIterator<Item = M>,
    decode: impl Fn(M) -> Result<T, IdError>,
) -> Vec<T> {
    let mut decoded = Vec::new();
    let mut fault: Option<IdError> = None;
    let mut count = 0_usize;
    for item in items {
        match decode(item) {
            Ok(item) => decoded.push(item),
            Err(error) => {
                count += 1;
                fault.get_or_insert(error);
            }
        }
    }
    if let Some(error) = fault {
        log::warn!("event=beat_items_undecodable field={field} count={count} error=\"{error}\"");
    }
    decoded
}

fn decode_usage(messages: Vec<UsageMessage>) -> Vec<ServiceUsage> {
    let usage = messages.into_iter().map(|message| ServiceUsage {
        service: message.service,
        requests: bounded_count(message.requests),
        retries: bounded_count(message.retries),
    });
    usage.collect()
}

fn encode_limit(limit: &PeerLimit) -> LimitMessage {
    LimitMessage {
        server: limit.server,
        version: limit.version,
        per_kilosecond: limit.limit.map(RequestLimit::per_kilosecond),
        age_ms: limit.age.as_millis(),
        sent: limit.sent,
    }
}

fn encode_fact(fact: &CrashFact) -> CrashFactMessage {
    CrashFactMessage {
        key: fact.key.0,
        class: fact.class.0 as u32,
        server: fact.server,
        source: fact.source,
        has_survived: fact.fate == RunFate::Survived,
        age_ms: fact.age.as_millis(),
        is_whole: fact.scope == PieceScope::Request,
        is_path: fact.scope == PieceScope::Path,
        was_over: fact.was_over,
    }
}

fn decode_fact(message: CrashFactMessage) -> CrashFact {
    CrashFact {
        key: ContentKey(message.key),
        scope: match (message.is_whole, message.is_path) {
            (true, _) => PieceScope::Request,
            (false, true) => PieceScope::Path,
            (false, false) => PieceScope::Part,
        },
        was_over: message.was_over,
        class: ContentKey(u64::from(message.class)),
        server: message.server,
        source: message.source,
        fate: if message.has_survived {
            RunFate::Survived
        } else {
            RunFate::Ended
        },
        age: TimeSpan(message.age_ms),
    }
}

fn encode_block(block: &PeerBlock) -> ContentBlockMessage {
    ContentBlockMessage {
        key: block.key.0,
        version: block.version,
        is_blocked: block.is_blocked,
        ends: block.ends,
        age_ms: block.age.as_millis(),
    }
}

fn decode_block(message: ContentBlockMessage) -> PeerBlock {
    PeerBlock {
        key: ContentKey(message.key),
        version: message.version,
        is_blocked: message.is_blocked,
        ends: message.ends,
        age: TimeSpan(message.age_ms),
    }
}

fn encode_evacuations(set: &EvacuationSet) -> EvacuationMessage {
    EvacuationMessage {
        era: set.era.0,
        revision: set.revision.0,
        domains: set.domains.iter().map(ToString::to_string).collect(),
    }
}

/// Decodes evacuated failure domains, of which there are [`MAX_EVACUATED`] at most.
fn decode_evacuations(message: EvacuationMessage) -> EvacuationSet {
    let domains = message.domains.into_iter().take(MAX_EVACUATED);
    let domains = valid_items("evacuations", domains, |domain| domain.parse());
    EvacuationSet {
        era: StoreEra(message.era),
        revision: StoreRevision(message.revision),
        domains: domains.into_iter().collect(),
    }
}

/// Adds a digest to an encoded heartbeat. The fields of two encoded messages in succession are those of one message.
pub fn encode_with_digest(heartbeat: &[u8], digest: PeerDigest) -> Vec<u8> {
    let in_phase = |wanted: PeerPhase| {
        let nodes = digest.nodes.iter();
        nodes
            .filter(|(_, phase)| *phase == wanted)
            .map(|(number, _)| number.0)
            .collect()
    };
    let message = NodeHeartbeat {
        digest: Some(DigestMessage {
            age_ms: digest.age.as_millis(),
            serving: in_phase(PeerPhase::Serving),
            starting: in_phase(PeerPhase::Starting),
            stopping: in_phase(PeerPhase::Stopping),
            cut_off: in_phase(PeerPhase::CutOff),
            load_targets: digest.loads.iter().map(|load| load.target).collect(),
            load_counts: digest.loads.iter().map(|load| load.requests).collect(),
            late_counts: digest.loads.iter().map(|load| load.late).collect(),
            unread_tokens: unread_tokens(&digest.loads),
            unserved_fingerprints: fingerprints(&digest.unserved),
            unserved_times_left_ms: times_left(&digest.unserved),
            sent_servers: digest.sent.iter().map(|sent| sent.server).collect(),
            sent_counts: digest.sent.iter().map(|sent| sent.requests).collect(),
            usage: encode_usage(&digest.usage),
            stalled_targets: digest.stalled_targets,
            closed_targets: digest.closed_targets,
        }),
        ..NodeHeartbeat::default()
    };
    let mut bytes = heartbeat.to_vec();
    bytes.extend(message.encode_to_vec());
    bytes
}

fn decode_digest(message: DigestMessage) -> PeerDigest {
    let phases = [
        (PeerPhase::Serving, message.serving),
        (PeerPhase::Starting, message.starting),
        (PeerPhase::Stopping, message.stopping),
        (PeerPhase::CutOff, message.cut_off),
    ];
    let nodes = phases.into_iter().flat_map(|(phase, numbers)| {
        let numbers = numbers.into_iter();
        numbers.map(move |number| (NodeNumber(number), phase))
    });
    let sent = message.sent_servers.into_iter().zip(message.sent_counts);
    PeerDigest {
        age: bounded_age(message.age_ms),
        nodes: nodes.collect(),
        loads: decode_loads(
            message.load_targets,
            message.load_counts,
            message.late_counts,
            message.unread_tokens,
        ),
        stalled_targets: message.stalled_targets,
        closed_targets: message.closed_targets,
        unserved: decode_unserved(
            message.unserved_fingerprints,
            message.unserved_times_left_ms,
        ),
        sent: sent
            .map(|(server, requests)| ServerSent {
                server,
                requests: bounded_count(requests),
            })
            .collect(),
        usage: decode_usage(message.usage),
    }
}

fn decode_loads(
    targets: Vec<u32>,
    counts: Vec<u32>,
    late_counts: Vec<u32>,
    unread_tokens: Vec<u32>,
) -> Vec<PeerLoad> {
    let loads = targets.into_iter().zip(counts).zip(late_counts);
    let unread_tokens = unread_tokens.into_iter().chain(std::iter::repeat(0));
    loads
        .zip(unread_tokens)
        .map(|(((target, requests), late), unread)| PeerLoad {
            target,
            requests: bounded_count(requests),
            late: bounded_count(late),
            unread,
        })
        .collect()
}

fn decode_unserved(fingerprints: Vec<u32>, times_left_ms: Vec<u64>) -> Vec<PeerUnserved> {
    let attempts = fingerprints.into_iter().zip(times_left_ms);
    attempts
        .map(|(fingerprint, time_left_ms)| PeerUnserved {
            fingerprint,
            time_left: TimeSpan(time_left_ms),
        })
        .collect()
}

/// Decodes a received heartbeat.
///
/// # Errors
///
/// Fails on data that is no heartbeat, and if the id, failure domain or addresses of the node are not valid. Other items with
/// ids that are not valid are left out.
pub fn decode_heartbeat(data: &[u8]) -> eyre::Result<PeerHeartbeat> {
    let message = NodeHeartbeat::decode(data)?;
    let work = valid_items("work", message.work, |work| {
        Ok((work.model.parse::<ModelId>()?, work.work_ms))
    });
    Ok(PeerHeartbeat {
        node: message.node.parse().wrap_err("node")?,
        incarnation: Incarnation(message.incarnation),
        failure_domain: message.failure_domain.parse()?,
        caller_address: message.caller_address.parse()?,
        peer_address: message.peer_address.parse()?,
        phase: match message.phase {
            1 => PeerPhase::Serving,
            2 => PeerPhase::Stopping,
            3 => PeerPhase::CutOff,
            _ => PeerPhase::Starting,
        },
        config_version: message.config_version,
        table_age: TimeSpan(message.table_age_ms),
        is_store_unreachable: message.is_store_unreachable,
        claim: message.lease.as_ref().map(decode_claim),
        handover: valid_items("handover", message.handover, |handover| {
            let successor = NodeKey {
                id: handover.successor.parse()?,
                incarnation: Incarnation(handover.incarnation),
            };
            // Without a claim there is no validity left, so the handover is never accepted.
            let claim = decode_claim(&handover.lease.unwrap_or_default());
            Ok(LeaseHandover { successor, claim })
        })
        .pop(),
        loads: decode_loads(
            message.load_targets,
            message.load_counts,
            message.late_counts,
            message.unread_tokens,
        ),
        stalled_targets: message.stalled_targets,
        work,
        target_changes: message.target_changes,
        closed_targets: message.closed_targets,
        unserved: decode_unserved(
            message.unserved_fingerprints,
            message.unserved_times_left_ms,
        ),
        limits: message
            .limits
            .into_iter()
            .map(|limit| PeerLimit {
                server: limit.server,
                version: limit.version.min(MAX_LIMIT_VERSION),
                limit: limit.per_kilosecond.map(RequestLimit::from_per_kilosecond),
                age: bounded_age(limit.age_ms),
                sent: bounded_count(limit.sent),
            })
            .collect(),
        store_era: StoreEra(message.store_era),
        latest_term: LeaseEpoch(message.latest_term),
        leaving: valid_items("leaving", message.leaving, |leaving| {
            Ok(LeavingServer {
                id: leaving.server.parse()?,
                started: leaving.started,
            })
        }),
        processor: ProcessorShare(message.processor_permille),
        is_relay: message.is_relay,
        digest: message.digest.map(decode_digest),
        table_version: message.table_version,
        usage: decode_usage(message.usage),
        crash_facts: message.crash_facts.into_iter().map(decode_fact).collect(),
        content_blocks: message
            .content_blocks
            .into_iter()
            .map(decode_block)
            .collect(),
        evacuations: message.evacuations.map(decode_evacuations),
    })
}
