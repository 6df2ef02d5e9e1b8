//! Translates entries of backend servers to and from the messages in copies of the table.

use compact_str::CompactString;
use jaysaddle_adapter::backend::entry_spec;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::serving::BackendEntry;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::serving::GroupMembership;
use jaysaddle_types::serving::MemberPhase;
use jaysaddle_types::units::SlotCount;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_wire::heartbeat::SnapshotEntry;
use serde_json::Value;

/// Encodes an entry.
pub fn encode_entry(entry: &BackendEntry, write_count: u64) -> SnapshotEntry {
    let text = |value: Option<&str>| value.unwrap_or_default().to_owned();
    let mut message = SnapshotEntry {
        name: entry.id.to_string(),
        write_count,
        started: entry.started,
        service: entry.service.to_string(),
        address: entry.address.to_string(),
        failure_domain: entry.failure_domain.to_string(),
        fabric_domain: text(entry.fabric_domain.as_ref().map(|domain| domain.as_str())),
        slots: entry.slots.0,
        is_draining: entry.is_draining,
        model: text(entry.model.as_ref().map(|model| model.as_str())),
        staged: entry.staged.iter().map(ToString::to_string).collect(),
        cold_left_ms: entry.cold_left.as_millis(),
        ..SnapshotEntry::default()
    };
    if let Some(membership) = &entry.membership {
        message.group = membership.key.group.to_string();
        message.generation = membership.key.generation.0;
        message.rank = membership.rank;
        message.phase = match membership.phase {
            MemberPhase::Unknown => 0,
            MemberPhase::Joining => 1,
            MemberPhase::Ready => 2,
            MemberPhase::Open => 3,
            MemberPhase::Closing => 4,
            MemberPhase::Broken => 5,
        };
    }
    message
}

fn optional<T: std::str::FromStr>(text: &str) -> Result<Option<T>, T::Err> {
    (!text.is_empty()).then(|| text.parse()).transpose()
}

/// Decodes an entry into the form in which the store holds it.
///
/// # Errors
///
/// Fails on ids and addresses that are not valid.
pub fn decode_entry(message: &SnapshotEntry) -> eyre::Result<Value> {
    let group = optional(&message.group)?;
    let membership = group.map(|group| GroupMembership {
        key: GroupKey {
            group,
            generation: Generation(message.generation),
        },
        rank: message.rank,
        phase: match message.phase {
            1 => MemberPhase::Joining,
            2 => MemberPhase::Ready,
            3 => MemberPhase::Open,
            4 => MemberPhase::Closing,
            5 => MemberPhase::Broken,
            _ => MemberPhase::Unknown,
        },
    });
    let staged = message.staged.iter().map(|model| model.parse());
    let entry = BackendEntry {
        id: message.name.parse()?,
        started: message.started,
        service: message.service.parse()?,
        address: message.address.parse()?,
        failure_domain: message.failure_domain.parse()?,
        fabric_domain: optional(&message.fabric_domain)?,
        slots: SlotCount(message.slots),
        is_draining: message.is_draining,
        model: optional(&message.model)?,
        staged: staged.collect::<Result<_, _>>()?,
        membership,
        cold_left: TimeSpan(message.cold_left_ms),
    };
    Ok(entry_spec(&entry, message.write_count))
}

/// Entries of a copy.
#[derive(Debug, Default)]
pub struct CopiedEntries {
    /// Names and contents of the entries, in the form in which the store holds them.
    pub sound: Vec<(CompactString, Value)>,
    /// Names of entries that cannot be decoded.
    pub odd: Vec<CompactString>,
}

/// Decodes the entries of a copy one by one, with one log line for those that cannot be decoded.
pub fn decode_entries(messages: &[SnapshotEntry]) -> CopiedEntries {
    let mut copied = CopiedEntries::default();
    let mut fault = None;
    for message in messages {
        let name = CompactString::from(message.name.as_str());
        match decode_entry(message) {
            Ok(spec) => copied.sound.push((name, spec)),
            Err(error) => {
                copied.odd.push(name);
                fault.get_or_insert(error);
            }
        }
    }
    if let Some(error) = fault {
        log::warn!(
            "event=copied_entries_undecodable count={} error=\"{error:#}\"",
            copied.odd.len()
        );
    }
    copied
}
