//! What a node knows of a lease, in plain sentences.

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::units::Timestamp;

use crate::shard::KnownLease;
use crate::shard::ShardLease;
use crate::table::LeaseTable;

impl LeaseTable {
    /// What this node knows of a lease, in plain sentences.
    ///
    /// Ages are counted to the last event that the table received.
    pub fn explain(&self, shard: &FabricDomainId) -> Vec<CompactString> {
        let Some(lease) = self.shards.get(shard) else {
            return vec![format_compact!("Shard {shard} is not in the inventory.")];
        };
        let now = self.last_step;
        let mut lines = vec![known_line(shard, lease, now)];
        if let Some(held) = lease.held {
            lines.push(format_compact!(
                "This node holds it with epoch {} for another {} unless a renewal takes effect.",
                held.epoch,
                held.ends(&self.settings).since(now)
            ));
            if held.orders_allowed_from > now {
                lines.push(format_compact!(
                    "Orders to engines that ignore fencing tokens wait another {}.",
                    held.orders_allowed_from.since(now)
                ));
            }
        }
        lines.push(self.candidate_line(lease, now));
        if !lease.unresolved.is_empty() {
            lines.push(format_compact!(
                "{} own writes have an unknown outcome; reading back decides.",
                lease.unresolved.len()
            ));
        }
        if lease.failures > 0 {
            lines.push(format_compact!(
                "The last {} calls to the store for it failed; the next is due in {}.",
                lease.failures,
                lease.due.since(now)
            ));
        }
        lines
    }

    fn candidate_line(&self, lease: &ShardLease, now: Timestamp) -> CompactString {
        if lease.retired {
            return "This node gives it up and does not take it again.".into();
        }
        let Some(rank) = lease.rank else {
            return format_compact!(
                "This node is not among its {} candidates and does not poll it.",
                self.settings.max_candidates
            );
        };
        match lease.takeover_at(&self.own, &self.settings) {
            Some(at) => format_compact!(
                "This node is its candidate number {}; it takes over in {} unless the lease changes.",
                rank + 1,
                at.since(now)
            ),
            None => format_compact!("This node is its candidate number {}.", rank + 1),
        }
    }
}

fn known_line(shard: &FabricDomainId, lease: &ShardLease, now: Timestamp) -> CompactString {
    match &lease.known {
        KnownLease::Unread => format_compact!("This node has not read the lease of shard {shard}."),
        KnownLease::Missing { since } => format_compact!(
            "The lease of shard {shard} does not exist, seen {} ago.",
            now.since(*since)
        ),
        KnownLease::Unreadable { version } => format_compact!(
            "The lease object of shard {shard} (version {version}) is not a lease; delete it."
        ),
        KnownLease::Record {
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
