//! Explanation of a lease's state for operators.

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::units::Timestamp;

use crate::shard::LeaseObject;
use crate::shard::ShardLease;
use crate::table::LeaseTable;

impl LeaseTable {
    /// Describes the lease of a shard as last seen by this node, one sentence per item.
    ///
    /// Times are relative to the last event that the table received.
    pub fn explain(&self, shard: &FabricDomainId) -> Vec<CompactString> {
        let Some(lease) = self.shards.get(shard) else {
            return vec![format_compact!("Shard {shard} is not in the inventory.")];
        };
        let now = self.last_event_at;
        let mut lines = vec![object_line(shard, lease, now)];
        if let Some(held) = lease.held {
            lines.push(format_compact!(
                "This node holds it with epoch {} for another {} unless a renewal takes effect.",
                held.epoch,
                held.expiry(&self.settings).since(now)
            ));
            if held.orders_allowed_from > now {
                lines.push(format_compact!(
                    "It sends no orders to engines that ignore fencing tokens for another {}.",
                    held.orders_allowed_from.since(now)
                ));
            }
        }
        lines.push(self.candidate_line(lease, now));
        if !lease.unresolved.is_empty() {
            lines.push(format_compact!(
                "{} writes of this node have an unknown outcome until the lease is read again.",
                lease.unresolved.len()
            ));
        }
        if lease.failures > 0 {
            lines.push(format_compact!(
                "The last {} store calls for the lease failed; the next one is due in {}.",
                lease.failures,
                lease.due.since(now)
            ));
        }
        lines
    }

    fn candidate_line(&self, lease: &ShardLease, now: Timestamp) -> CompactString {
        if lease.is_retired {
            return "This node releases the lease and does not acquire it again.".into();
        }
        let Some(rank) = lease.rank else {
            return format_compact!(
                "This node is not among the {} candidates for the lease and does not poll it.",
                self.settings.max_candidates
            );
        };
        match lease.takeover_at(&self.own, &self.settings) {
            Some(at) => format_compact!(
                "This node is candidate number {} for the lease; it takes over in {} unless the \
                 lease changes.",
                rank + 1,
                at.since(now)
            ),
            None => format_compact!("This node is candidate number {} for the lease.", rank + 1),
        }
    }
}

fn object_line(shard: &FabricDomainId, lease: &ShardLease, now: Timestamp) -> CompactString {
    match &lease.object {
        LeaseObject::Unread => format_compact!("The lease of shard {shard} has not been read."),
        LeaseObject::Missing { since } => format_compact!(
            "The lease of shard {shard} does not exist; first seen missing {} ago.",
            now.since(*since)
        ),
        LeaseObject::Unreadable { version } => format_compact!(
            "The lease object of shard {shard} (version {version}) is not a lease; delete it."
        ),
        LeaseObject::Record {
            version,
            record,
            since,
        } => {
            let holder = match &record.holder {
                Some(node) => format_compact!("held by {}/{}", node.id, node.incarnation),
                None => "released".into(),
            };
            format_compact!(
                "The lease of shard {shard} is {holder} with epoch {}; version {version} was first \
                 seen {} ago.",
                record.epoch,
                now.since(*since)
            )
        }
    }
}
