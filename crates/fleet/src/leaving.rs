//! Backend servers that have said in a response that they are leaving.
//!
//! A backend server says so earlier than its entry in the store does, and its entry may never do so. What it has said
//! holds for the rest of its process's life.

use std::collections::BTreeMap;

use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Time for which a node passes on to its peers that a backend server is leaving. By then its entry says so or is gone.
const ANNOUNCE_TIME: TimeSpan = TimeSpan::from_secs(10);
/// Maximum number of leaving backend servers in a heartbeat, so that it fits into one packet; the latest are announced.
const MAX_ANNOUNCED: usize = 32;
/// Maximum number of leaving backend servers that are remembered.
const MAX_REMEMBERED: usize = 4096;

/// Process of a backend server that is leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingServer {
    /// Id under which the backend server is registered.
    pub id: VmId,
    /// Start of the process that is leaving. A later process under the same id is not.
    pub started: u64,
}

#[derive(Clone, Copy, Debug)]
struct LeavingRecord {
    started: u64,
    learned: Timestamp,
}

/// Backend servers that have said in a response that they are leaving.
#[derive(Clone, Debug, Default)]
pub struct LeavingServers {
    records: BTreeMap<VmId, LeavingRecord>,
}

impl LeavingServers {
    /// Records that a process is leaving. Returns whether that was not known.
    pub fn record(&mut self, server: &LeavingServer, now: Timestamp) -> bool {
        if self.contains(&server.id, server.started) {
            return false;
        }
        if self.records.len() >= MAX_REMEMBERED {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.learned);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.records.remove(&id);
            }
        }
        let record = LeavingRecord {
            started: server.started,
            learned: now,
        };
        self.records.insert(server.id.clone(), record);
        true
    }

    /// Whether a process has said that it is leaving.
    pub fn contains(&self, id: &VmId, started: u64) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| record.started == started)
    }

    /// What this node tells its peers, latest first.
    pub fn announced(&self, now: Timestamp) -> Vec<LeavingServer> {
        let mut recent: Vec<(&VmId, &LeavingRecord)> = self
            .records
            .iter()
            .filter(|(_, record)| now.since(record.learned) < ANNOUNCE_TIME)
            .collect();
        recent.sort_by_key(|(_, record)| std::cmp::Reverse(record.learned));
        recent
            .into_iter()
            .take(MAX_ANNOUNCED)
            .map(|(id, record)| LeavingServer {
                id: id.clone(),
                started: record.started,
            })
            .collect()
    }
}
