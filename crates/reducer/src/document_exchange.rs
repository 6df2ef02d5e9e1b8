//! Exchange of configuration documents between nodes.
//!
//! Most nodes receive a change through their own watch. A rumor with the versions informs nodes
//! whose watch is late or that cannot reach the store, so a rumor from a single node is enough:
//! each node waits for a different time and announces its versions only if no live node has
//! announced them by then. With 320 nodes, a rumor from every node for each change would exceed the
//! entire bandwidth budget.

use std::collections::BTreeMap;

use jaysaddle_types::ids::DocumentName;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::config::ConfigTable;

/// Upper limit of a node's delay before it announces its versions.
const MAX_ANNOUNCE_DELAY: TimeSpan = TimeSpan::from_secs(2);

/// Delay before an announced document is requested from a peer. The watch usually delivers it
/// sooner, which saves the request.
const FETCH_DELAY: TimeSpan = TimeSpan::from_millis(500);

/// Time without a reply after which a document is requested from another peer.
const FETCH_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);

/// A request for a document to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentRequest {
    /// Name of the requested document.
    pub name: DocumentName,
    /// Lowest acceptable version.
    pub version: ObjectVersion,
    /// Node that announced this version and receives the request.
    pub source: NodeKey,
}

#[derive(Clone, Debug)]
struct MissingDocument {
    since: Timestamp,
    requested_at: Option<Timestamp>,
    attempts: usize,
}

/// Tracks the versions that peers announced, and schedules this node's announcements and requests.
#[derive(Clone, Debug)]
pub struct DocumentExchange {
    announce_delay: TimeSpan,
    announced: BTreeMap<NodeKey, Vec<(DocumentName, ObjectVersion)>>,
    own_versions: Vec<(DocumentName, ObjectVersion)>,
    announce_at: Option<Timestamp>,
    missing: BTreeMap<DocumentName, MissingDocument>,
}

fn version_in(versions: &[(DocumentName, ObjectVersion)], name: &DocumentName) -> ObjectVersion {
    versions
        .iter()
        .find(|(other, _)| other == name)
        .map_or(ObjectVersion(0), |(_, version)| *version)
}

impl DocumentExchange {
    /// Creates the exchange of the node incarnation `own`.
    pub fn new(own: &NodeKey) -> Self {
        // FNV-1a distributes the delays of the nodes evenly. Equal delays only cost a second rumor.
        let hash = own
            .id
            .as_str()
            .bytes()
            .chain(own.incarnation.0.to_le_bytes())
            .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
                (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
            });
        Self {
            announce_delay: TimeSpan::from_millis((hash >> 16) % MAX_ANNOUNCE_DELAY.as_millis()),
            announced: BTreeMap::new(),
            own_versions: Vec::new(),
            announce_at: None,
            missing: BTreeMap::new(),
        }
    }

    /// Records the versions that a peer announced.
    pub fn record_announcement(
        &mut self,
        origin: NodeKey,
        versions: Vec<(DocumentName, ObjectVersion)>,
    ) {
        self.announced.insert(origin, versions);
    }

    /// Removes the announcements of nodes that are no longer live.
    pub fn retain_nodes(&mut self, is_live: impl Fn(&NodeKey) -> bool) {
        self.announced.retain(|key, _| is_live(key));
    }

    fn is_announced(&self, name: &DocumentName, version: ObjectVersion) -> bool {
        self.announced
            .values()
            .chain([&self.own_versions])
            .any(|versions| version_in(versions, name) >= version)
    }

    /// Returns the versions to announce now: those that no node has announced within
    /// this node's delay.
    pub fn due_announcement(
        &mut self,
        config: &ConfigTable,
        now: Timestamp,
    ) -> Option<Vec<(DocumentName, ObjectVersion)>> {
        let versions = config.versions();
        let unannounced = versions
            .iter()
            .any(|(name, version)| !self.is_announced(name, *version));
        if !unannounced {
            self.announce_at = None;
            return None;
        }
        let at = *self.announce_at.get_or_insert(now + self.announce_delay);
        if now < at {
            return None;
        }
        self.announce_at = None;
        self.own_versions = versions.clone();
        Some(versions)
    }

    /// Returns the documents to request now. Retries of a request rotate among the nodes that
    /// announced the document.
    pub fn due_requests(&mut self, config: &ConfigTable, now: Timestamp) -> Vec<DocumentRequest> {
        let mut highest: BTreeMap<DocumentName, ObjectVersion> = BTreeMap::new();
        for (name, version) in self.announced.values().flatten() {
            let own_version = name
                .as_str()
                .parse()
                .map_or(ObjectVersion(u64::MAX), |kind| config.version(&kind));
            if *version > own_version {
                let entry = highest.entry(name.clone()).or_default();
                *entry = (*entry).max(*version);
            }
        }
        self.missing.retain(|name, _| highest.contains_key(name));
        let mut requests = Vec::new();
        for (name, version) in highest {
            let missing = self.missing.entry(name.clone()).or_insert(MissingDocument {
                since: now,
                requested_at: None,
                attempts: 0,
            });
            let due = match missing.requested_at {
                None => now.since(missing.since) >= FETCH_DELAY,
                Some(requested_at) => now.since(requested_at) >= FETCH_TIMEOUT,
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
            if let Some(source) = sources.get(missing.attempts % sources.len().max(1)) {
                missing.requested_at = Some(now);
                missing.attempts += 1;
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
