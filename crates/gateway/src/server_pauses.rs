//! Backend servers that have asked this node to send them nothing for a while.
//!
//! A pause holds for this node alone. The others may send until the backend server asks them as well.

use std::collections::HashMap;

use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::target::ServerNumber;

/// Pause that a backend server has asked this node for.
#[derive(Clone, Debug)]
struct PauseRecord {
    backend: VmId,
    until: Timestamp,
}

/// Pauses in force.
#[derive(Debug, Default)]
pub struct ServerPauses {
    records: HashMap<ServerNumber, PauseRecord>,
}

impl ServerPauses {
    /// Records a pause. It does not shorten an earlier one.
    pub fn record(&mut self, server: ServerNumber, backend: &VmId, until: Timestamp) {
        let record = self.records.entry(server).or_insert_with(|| PauseRecord {
            backend: backend.clone(),
            until,
        });
        record.until = record.until.max(until);
    }

    /// Time until the pause of a backend server ends; `None` without one.
    pub fn remaining(&self, server: ServerNumber, now: Timestamp) -> Option<TimeSpan> {
        let until = self.records.get(&server)?.until;
        (now < until).then(|| until.since(now))
    }

    /// Removes the pauses that have ended.
    pub fn expire(&mut self, now: Timestamp) {
        self.records.retain(|_, record| now < record.until);
    }

    /// Backend servers with a pause in force, and its end.
    pub fn paused(&self, now: Timestamp) -> Vec<(VmId, Timestamp)> {
        let records = self.records.values();
        records
            .filter(|record| now < record.until)
            .map(|record| (record.backend.clone(), record.until))
            .collect()
    }
}
