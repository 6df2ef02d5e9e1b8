//! Configuration changes by operators.
//!
//! A change is a single conditional write. When the response to it is lost, the object is read back
//! and its write id shows whether the change took effect; the write is never sent twice. A drain is
//! merged into the stored document and retried on a version conflict, since concurrent drains are
//! compatible; an apply with an expected version is not retried.

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

/// Correlates an operator's request with its outcome; unique within one incarnation of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperatorTicket(pub u64);

/// Outcome of an operator's change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorOutcome {
    /// The change was stored as this version.
    Applied(ObjectVersion),
    /// This other version is stored; nothing was changed.
    Conflict(ObjectVersion),
    /// The document is invalid, with all problems found; nothing was changed.
    Invalid(Vec<CompactString>),
    /// The store is unavailable; nothing was changed.
    Unavailable,
    /// The store's response was lost and the object cannot be read back, so it is unknown whether
    /// the change took effect.
    Unknown,
}

/// Maximum number of writes of a drain before a conflict is reported. A write conflicts only with
/// another operator's change.
const MAX_DRAIN_WRITES: u32 = 8;

/// Maximum number of reads before a change is reported as unknown, or a drain as unavailable.
const MAX_READ_ATTEMPTS: u32 = 5;

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
    /// Version that the latest write expected.
    expected: ObjectVersion,
    attempts: u32,
}

/// Effect of a step of [`ChangeTracker`].
#[derive(Clone, Debug)]
pub enum OperatorEffect {
    /// Call the store; the outcome is passed to [`ChangeTracker::handle_outcome`].
    Call(CallId, StoreRequest),
    /// The store holds this version and value of the object, according to a write or a read.
    Stored(StoredObject),
    /// Complete the operator's request.
    Complete(OperatorTicket, OperatorOutcome),
}

/// Tracks the operators' changes that are in progress.
#[derive(Clone, Debug)]
pub struct ChangeTracker {
    own: NodeKey,
    next_call: CallId,
    pending: BTreeMap<CallId, (PendingChange, String)>,
}

fn has_write_id(object: &StoredObject, write_id: &WriteId) -> bool {
    #[derive(serde::Deserialize)]
    struct StoredWriteId {
        write_id: WriteId,
    }
    serde_json::from_str::<StoredWriteId>(&object.value)
        .is_ok_and(|stored| stored.write_id == *write_id)
}

impl ChangeTracker {
    /// Creates a tracker without changes for the node incarnation `own`.
    pub fn new(own: NodeKey) -> Self {
        Self {
            own,
            next_call: CallId(1),
            pending: BTreeMap::new(),
        }
    }

    fn allocate_call(&mut self) -> CallId {
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
        let call = self.allocate_call();
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

    /// Starts a change that replaces the document `name` with the given JSON text.
    pub fn apply(
        &mut self,
        ticket: OperatorTicket,
        name: &str,
        expected: ObjectVersion,
        document: &str,
    ) -> Vec<OperatorEffect> {
        let invalid = |message: CompactString| {
            vec![OperatorEffect::Complete(
                ticket,
                OperatorOutcome::Invalid(vec![message]),
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
            return vec![OperatorEffect::Complete(
                ticket,
                OperatorOutcome::Invalid(messages),
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

    /// Starts a change that adds a VM to the drained VMs or removes it from them.
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
            return vec![OperatorEffect::Complete(
                ticket,
                OperatorOutcome::Applied(version),
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
            Err(error) => vec![OperatorEffect::Complete(
                ticket,
                OperatorOutcome::Invalid(vec![format_compact!("{error}")]),
            )],
        }
    }

    /// Processes the outcome of a store call; outcomes of unknown calls are ignored.
    pub fn handle_outcome(&mut self, call: CallId, outcome: StoreOutcome) -> Vec<OperatorEffect> {
        let Some((change, value)) = self.pending.remove(&call) else {
            return Vec::new();
        };
        match change.phase.clone() {
            ChangePhase::Writing => self.handle_write_outcome(change, value, outcome),
            ChangePhase::ReadingBack { attempts } => {
                self.handle_read_back(change, value, attempts, outcome)
            }
            ChangePhase::ReadingDrains { attempts } => {
                self.handle_drains_read(change, attempts, outcome)
            }
        }
    }

    fn handle_write_outcome(
        &mut self,
        mut change: PendingChange,
        value: String,
        outcome: StoreOutcome,
    ) -> Vec<OperatorEffect> {
        let ticket = change.ticket;
        match outcome {
            StoreOutcome::Written(version) => vec![
                OperatorEffect::Stored(StoredObject {
                    name: format_compact!("{}", change.kind),
                    version,
                    revision: Default::default(),
                    value,
                }),
                OperatorEffect::Complete(ticket, OperatorOutcome::Applied(version)),
            ],
            StoreOutcome::Conflict(version) => {
                change.attempts += 1;
                if change.drain.is_some() && change.attempts < MAX_DRAIN_WRITES {
                    change.phase = ChangePhase::ReadingDrains { attempts: 0 };
                    return self.read(change, String::new());
                }
                vec![OperatorEffect::Complete(
                    ticket,
                    OperatorOutcome::Conflict(version),
                )]
            }
            StoreOutcome::Unavailable => {
                vec![OperatorEffect::Complete(
                    ticket,
                    OperatorOutcome::Unavailable,
                )]
            }
            StoreOutcome::Unknown | StoreOutcome::Found(_) | StoreOutcome::Missing => {
                change.phase = ChangePhase::ReadingBack { attempts: 0 };
                self.read(change, value)
            }
        }
    }

    fn handle_read_back(
        &mut self,
        mut change: PendingChange,
        value: String,
        attempts: u32,
        outcome: StoreOutcome,
    ) -> Vec<OperatorEffect> {
        let ticket = change.ticket;
        match outcome {
            StoreOutcome::Found(object) if has_write_id(&object, &change.write_id) => {
                let version = object.version;
                vec![
                    OperatorEffect::Stored(object),
                    OperatorEffect::Complete(ticket, OperatorOutcome::Applied(version)),
                ]
            }
            // A version above the expected one shows that this write can no longer take
            // effect or has already been replaced. The operator has to read the current
            // version in either case.
            StoreOutcome::Found(object) if object.version > change.expected => {
                let version = object.version;
                vec![
                    OperatorEffect::Stored(object),
                    OperatorEffect::Complete(ticket, OperatorOutcome::Conflict(version)),
                ]
            }
            // At the expected version, the write may still be in flight.
            _ if attempts + 1 < MAX_READ_ATTEMPTS => {
                change.phase = ChangePhase::ReadingBack {
                    attempts: attempts + 1,
                };
                self.read(change, value)
            }
            _ => vec![OperatorEffect::Complete(ticket, OperatorOutcome::Unknown)],
        }
    }

    fn handle_drains_read(
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
                    Err(error) => vec![OperatorEffect::Complete(
                        ticket,
                        OperatorOutcome::Invalid(vec![format_compact!("{error}")]),
                    )],
                }
            }
            StoreOutcome::Missing => {
                self.write_drains(change, ObjectVersion(0), DrainsDocument::default())
            }
            _ if attempts + 1 < MAX_READ_ATTEMPTS => {
                change.phase = ChangePhase::ReadingDrains {
                    attempts: attempts + 1,
                };
                self.read(change, String::new())
            }
            _ => vec![OperatorEffect::Complete(
                ticket,
                OperatorOutcome::Unavailable,
            )],
        }
    }
}
