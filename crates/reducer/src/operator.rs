//! Changes of the configuration by operators.
//!
//! A change is one conditional write. When its answer is lost, the object is read back and the
//! write id decides whether the change took effect; the write is never sent twice. A drain merges
//! into the document in force and starts over on a conflict, since two drains do not contradict
//! each other; an apply with an expected version does not.

use std::collections::BTreeMap;

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_settings::check;
use jaysaddle_settings::documents::DocumentKind;
use jaysaddle_settings::documents::DrainsDocument;
use jaysaddle_settings::documents::StoredDocument;
use jaysaddle_types::ids::CallId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::ids::WriteId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::store::ObjectKind;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoreRequest;
use jaysaddle_types::store::StoredObject;

use crate::config;

/// Matches an operator's request with its answer, within one run of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperatorTicket(pub u64);

/// Answer to an operator's change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorAnswer {
    /// The change is stored at this version.
    Applied(ObjectVersion),
    /// Another version is in force; nothing was changed.
    Conflict(ObjectVersion),
    /// The document is not valid; nothing was changed.
    Invalid(Vec<CompactString>),
    /// The store is down; nothing was changed.
    Unavailable,
    /// The store's answer was lost and it cannot be read back: the change may be in force.
    Unknown,
}

/// Attempts of a drain at the current version before it gives up; each loses only to another
/// operator's change.
const DRAIN_ATTEMPTS: u32 = 8;

/// Reads after a lost answer before the change is reported as unknown.
const READ_BACK_ATTEMPTS: u32 = 5;

#[derive(Clone, Debug)]
enum ChangePhase {
    Writing,
    ReadingBack { attempts: u32 },
    ReadingDrains { attempts: u32 },
}

#[derive(Clone, Debug)]
struct PendingChange {
    ticket: OperatorTicket,
    kind: DocumentKind,
    write_id: WriteId,
    phase: ChangePhase,
    drain: Option<(VmId, bool)>,
    /// Version that the last write expected.
    expected: ObjectVersion,
    attempts: u32,
}

/// What an operator's change leads to.
#[derive(Clone, Debug)]
pub enum OperatorEffect {
    /// Make a call to the store.
    Call(CallId, StoreRequest),
    /// The object is known to be stored with this version and value.
    Learned(StoredObject),
    /// Answer the operator.
    Answer(OperatorTicket, OperatorAnswer),
}

/// Changes under way.
#[derive(Clone, Debug)]
pub struct ChangeTracker {
    own: NodeKey,
    next_call: CallId,
    pending: BTreeMap<CallId, (PendingChange, String)>,
}

fn is_write_of(object: &StoredObject, write_id: &WriteId) -> bool {
    #[derive(serde::Deserialize)]
    struct WriteMark {
        write_id: WriteId,
    }
    serde_json::from_str::<WriteMark>(&object.value).is_ok_and(|mark| mark.write_id == *write_id)
}

impl ChangeTracker {
    /// No changes under way.
    pub fn new(own: NodeKey) -> Self {
        Self {
            own,
            next_call: CallId(1),
            pending: BTreeMap::new(),
        }
    }

    fn take_call(&mut self) -> CallId {
        let call = self.next_call;
        self.next_call = call.next();
        call
    }

    fn new_write_id(&self) -> WriteId {
        WriteId::new(format_compact!(
            "{}.{}.{}",
            self.own.id,
            self.own.incarnation,
            self.next_call
        ))
    }

    fn send(
        &mut self,
        change: PendingChange,
        value: String,
        request: StoreRequest,
    ) -> Vec<OperatorEffect> {
        let call = self.take_call();
        self.pending.insert(call, (change, value));
        vec![OperatorEffect::Call(call, request)]
    }

    fn read(&mut self, change: PendingChange, value: String) -> Vec<OperatorEffect> {
        let request = StoreRequest::Get {
            kind: ObjectKind::Config,
            name: format_compact!("{}", change.kind),
        };
        self.send(change, value, request)
    }

    /// Starts to apply a document given as JSON text.
    pub fn apply(
        &mut self,
        ticket: OperatorTicket,
        name: &str,
        expected: ObjectVersion,
        document: &str,
    ) -> Vec<OperatorEffect> {
        let invalid = |message: CompactString| {
            vec![OperatorEffect::Answer(
                ticket,
                OperatorAnswer::Invalid(vec![message]),
            )]
        };
        let kind: DocumentKind = match name.parse() {
            Ok(kind) => kind,
            Err(message) => return invalid(message),
        };
        let raw: serde_json::Value = match serde_json::from_str(document) {
            Ok(raw) => raw,
            Err(error) => return invalid(format_compact!("{error}")),
        };
        let write_id = self.new_write_id();
        let stored = StoredDocument {
            write_id: write_id.clone(),
            document: raw,
        };
        let value = match serde_json::to_string(&stored) {
            Ok(value) => value,
            Err(error) => return invalid(format_compact!("{error}")),
        };
        let parsed = match config::parse_document(&kind, &value) {
            Ok(parsed) => parsed,
            Err(message) => return invalid(message),
        };
        let problems = check::check_document(&kind, &parsed);
        if !problems.is_empty() {
            let messages = problems.iter().map(|p| format_compact!("{p}")).collect();
            return vec![OperatorEffect::Answer(
                ticket,
                OperatorAnswer::Invalid(messages),
            )];
        }
        let change = PendingChange {
            ticket,
            kind,
            write_id,
            phase: ChangePhase::Writing,
            drain: None,
            expected,
            attempts: 0,
        };
        self.write(change, expected, value)
    }

    fn write(
        &mut self,
        mut change: PendingChange,
        expected: ObjectVersion,
        value: String,
    ) -> Vec<OperatorEffect> {
        change.expected = expected;
        let request = StoreRequest::Put {
            kind: ObjectKind::Config,
            name: format_compact!("{}", change.kind),
            expected,
            write_id: change.write_id.clone(),
            value: value.clone(),
        };
        self.send(change, value, request)
    }

    /// Starts to drain or undrain a VM.
    pub fn drain(
        &mut self,
        ticket: OperatorTicket,
        vm: VmId,
        drained: bool,
    ) -> Vec<OperatorEffect> {
        let change = PendingChange {
            ticket,
            kind: DocumentKind::Drains,
            write_id: self.new_write_id(),
            phase: ChangePhase::ReadingDrains { attempts: 0 },
            drain: Some((vm, drained)),
            expected: ObjectVersion(0),
            attempts: 0,
        };
        self.read(change, String::new())
    }

    fn write_drains(
        &mut self,
        mut change: PendingChange,
        version: ObjectVersion,
        mut drains: DrainsDocument,
    ) -> Vec<OperatorEffect> {
        let ticket = change.ticket;
        let Some((vm, drained)) = change.drain.clone() else {
            return Vec::new();
        };
        if drains.vms.contains(&vm) == drained {
            return vec![OperatorEffect::Answer(
                ticket,
                OperatorAnswer::Applied(version),
            )];
        }
        if drained {
            drains.vms.push(vm);
            drains.vms.sort();
        } else {
            drains.vms.retain(|other| *other != vm);
        }
        change.write_id = self.new_write_id();
        change.phase = ChangePhase::Writing;
        let stored = StoredDocument {
            write_id: change.write_id.clone(),
            document: drains,
        };
        match serde_json::to_string(&stored) {
            Ok(value) => self.write(change, version, value),
            Err(error) => vec![OperatorEffect::Answer(
                ticket,
                OperatorAnswer::Invalid(vec![format_compact!("{error}")]),
            )],
        }
    }

    /// Takes the outcome of a call.
    pub fn answered(&mut self, call: CallId, outcome: StoreOutcome) -> Vec<OperatorEffect> {
        let Some((change, value)) = self.pending.remove(&call) else {
            return Vec::new();
        };
        match change.phase.clone() {
            ChangePhase::Writing => self.write_answered(change, value, outcome),
            ChangePhase::ReadingBack { attempts } => {
                self.read_back_answered(change, value, attempts, outcome)
            }
            ChangePhase::ReadingDrains { attempts } => {
                self.drains_answered(change, attempts, outcome)
            }
        }
    }

    fn write_answered(
        &mut self,
        mut change: PendingChange,
        value: String,
        outcome: StoreOutcome,
    ) -> Vec<OperatorEffect> {
        let ticket = change.ticket;
        match outcome {
            StoreOutcome::Written(version) => vec![
                OperatorEffect::Learned(StoredObject {
                    name: format_compact!("{}", change.kind),
                    version,
                    revision: Default::default(),
                    value,
                }),
                OperatorEffect::Answer(ticket, OperatorAnswer::Applied(version)),
            ],
            StoreOutcome::Conflict(version) => {
                change.attempts += 1;
                if change.drain.is_some() && change.attempts < DRAIN_ATTEMPTS {
                    change.phase = ChangePhase::ReadingDrains { attempts: 0 };
                    return self.read(change, String::new());
                }
                vec![OperatorEffect::Answer(
                    ticket,
                    OperatorAnswer::Conflict(version),
                )]
            }
            StoreOutcome::Unavailable => {
                vec![OperatorEffect::Answer(ticket, OperatorAnswer::Unavailable)]
            }
            StoreOutcome::Unknown | StoreOutcome::Found(_) | StoreOutcome::Missing => {
                change.phase = ChangePhase::ReadingBack { attempts: 0 };
                self.read(change, value)
            }
        }
    }

    fn read_back_answered(
        &mut self,
        mut change: PendingChange,
        value: String,
        attempts: u32,
        outcome: StoreOutcome,
    ) -> Vec<OperatorEffect> {
        let ticket = change.ticket;
        match outcome {
            StoreOutcome::Found(object) if is_write_of(&object, &change.write_id) => {
                let version = object.version;
                vec![
                    OperatorEffect::Learned(object),
                    OperatorEffect::Answer(ticket, OperatorAnswer::Applied(version)),
                ]
            }
            // A version above the expected one proves that this write can no longer take effect,
            // or that another one came after it; the operator reads the version in force.
            StoreOutcome::Found(object) if object.version > change.expected => {
                let version = object.version;
                vec![
                    OperatorEffect::Learned(object),
                    OperatorEffect::Answer(ticket, OperatorAnswer::Conflict(version)),
                ]
            }
            // At the expected version the write may still be on its way.
            _ if attempts + 1 < READ_BACK_ATTEMPTS => {
                change.phase = ChangePhase::ReadingBack {
                    attempts: attempts + 1,
                };
                self.read(change, value)
            }
            _ => vec![OperatorEffect::Answer(ticket, OperatorAnswer::Unknown)],
        }
    }

    fn drains_answered(
        &mut self,
        mut change: PendingChange,
        attempts: u32,
        outcome: StoreOutcome,
    ) -> Vec<OperatorEffect> {
        let ticket = change.ticket;
        match outcome {
            StoreOutcome::Found(object) => {
                let stored: Result<StoredDocument<DrainsDocument>, _> =
                    serde_json::from_str(&object.value);
                match stored {
                    Ok(stored) => self.write_drains(change, object.version, stored.document),
                    Err(error) => vec![OperatorEffect::Answer(
                        ticket,
                        OperatorAnswer::Invalid(vec![format_compact!("{error}")]),
                    )],
                }
            }
            StoreOutcome::Missing => {
                self.write_drains(change, ObjectVersion(0), DrainsDocument::default())
            }
            _ if attempts + 1 < READ_BACK_ATTEMPTS => {
                change.phase = ChangePhase::ReadingDrains {
                    attempts: attempts + 1,
                };
                self.read(change, String::new())
            }
            _ => vec![OperatorEffect::Answer(ticket, OperatorAnswer::Unavailable)],
        }
    }
}
