//! Exchange of configuration documents between nodes.
//!
//! Most nodes learn a change by their own watch. A rumor with the versions serves those whose watch
//! is late or whose store is out of reach, so one node's rumor is enough: each node waits for a time
//! of its own and announces its versions only when no live node has announced them by then. At 320
//! nodes, a rumor from each of them for each change would take more than the whole budget.

use std::collections::BTreeMap;

use jaysaddle_types::ids::DocumentName;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::config::ConfigTable;

/// Longest wait before a node announces its versions.
const ANNOUNCE_SPREAD: TimeSpan = TimeSpan::from_secs(2);

/// Time for which a watch may deliver a document before a peer is asked for it. The watch is
/// usually faster, and then costs the peers nothing.
const FETCH_DELAY: TimeSpan = TimeSpan::from_millis(500);

/// Time until another peer is asked for the same document.
const FETCH_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// A document to ask a peer for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentRequest {
    /// The document.
    pub name: DocumentName,
    /// Version wanted.
    pub version: ObjectVersion,
    /// Node that announced it.
    pub source: NodeKey,
}

#[derive(Clone, Debug)]
struct WantedDocument {
    since: Timestamp,
    asked: Option<Timestamp>,
    attempts: usize,
}

/// What live peers announced, and what this node announces and asks for.
#[derive(Clone, Debug)]
pub struct DocumentExchange {
    wait: TimeSpan,
    announced: BTreeMap<NodeKey, Vec<(DocumentName, ObjectVersion)>>,
    own: Vec<(DocumentName, ObjectVersion)>,
    announce_at: Option<Timestamp>,
    wanted: BTreeMap<DocumentName, WantedDocument>,
}

fn version_in(versions: &[(DocumentName, ObjectVersion)], name: &DocumentName) -> ObjectVersion {
    versions
        .iter()
        .find(|(other, _)| other == name)
        .map_or(ObjectVersion(0), |(_, version)| *version)
}

impl DocumentExchange {
    /// An exchange of the node run `own`.
    pub fn new(own: &NodeKey) -> Self {
        // FNV-1a spreads the nodes' waits evenly; equal waits only cost a second rumor.
        let hash = own
            .id
            .as_str()
            .bytes()
            .chain(own.incarnation.0.to_le_bytes())
            .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
                (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
            });
        Self {
            wait: TimeSpan::from_millis((hash >> 16) % ANNOUNCE_SPREAD.as_millis()),
            announced: BTreeMap::new(),
            own: Vec::new(),
            announce_at: None,
            wanted: BTreeMap::new(),
        }
    }

    /// Takes a peer's announcement.
    pub fn heard(&mut self, origin: NodeKey, versions: Vec<(DocumentName, ObjectVersion)>) {
        self.announced.insert(origin, versions);
    }

    /// Forgets the announcements of nodes that are gone.
    pub fn retain_nodes(&mut self, is_live: impl Fn(&NodeKey) -> bool) {
        self.announced.retain(|key, _| is_live(key));
    }

    fn is_announced(&self, name: &DocumentName, version: ObjectVersion) -> bool {
        self.announced
            .values()
            .chain([&self.own])
            .any(|versions| version_in(versions, name) >= version)
    }

    /// Versions to announce now, if nobody has announced them for this node's wait.
    pub fn due_announcement(
        &mut self,
        config: &ConfigTable,
        now: Timestamp,
    ) -> Option<Vec<(DocumentName, ObjectVersion)>> {
        let versions = config.versions();
        let missing = versions
            .iter()
            .any(|(name, version)| !self.is_announced(name, *version));
        if !missing {
            self.announce_at = None;
            return None;
        }
        let at = *self.announce_at.get_or_insert(now + self.wait);
        if now < at {
            return None;
        }
        self.announce_at = None;
        self.own = versions.clone();
        Some(versions)
    }

    /// Documents to ask for now; each repeat asks another of the nodes that announced it.
    pub fn due_requests(&mut self, config: &ConfigTable, now: Timestamp) -> Vec<DocumentRequest> {
        let mut highest: BTreeMap<DocumentName, ObjectVersion> = BTreeMap::new();
        for (name, version) in self.announced.values().flatten() {
            let known = name
                .as_str()
                .parse()
                .map_or(ObjectVersion(u64::MAX), |kind| config.version(&kind));
            if *version > known {
                let entry = highest.entry(name.clone()).or_default();
                *entry = (*entry).max(*version);
            }
        }
        self.wanted.retain(|name, _| highest.contains_key(name));
        let mut requests = Vec::new();
        for (name, version) in highest {
            let wanted = self.wanted.entry(name.clone()).or_insert(WantedDocument {
                since: now,
                asked: None,
                attempts: 0,
            });
            let due = match wanted.asked {
                None => now.since(wanted.since) >= FETCH_DELAY,
                Some(asked) => now.since(asked) >= FETCH_INTERVAL,
            };
            if !due {
                continue;
            }
            let sources: Vec<&NodeKey> = self
                .announced
                .iter()
                .filter(|(_, versions)| version_in(versions, &name) >= version)
                .map(|(key, _)| key)
                .collect();
            if let Some(source) = sources.get(wanted.attempts % sources.len().max(1)) {
                wanted.asked = Some(now);
                wanted.attempts += 1;
                requests.push(DocumentRequest {
                    name,
                    version,
                    source: (*source).clone(),
                });
            }
        }
        requests
    }
}
