//! Values that decode but that no node and no backend server of this system states.

use jaysaddle_fleet::groups::group_generation;
use jaysaddle_fleet::groups::group_name;
use jaysaddle_fleet::groups::latest_reported_term;
use jaysaddle_fleet::lease::LeaseClaim;
use jaysaddle_fleet::lease::LeaseEffect;
use jaysaddle_fleet::lease::LeaseEvent;
use jaysaddle_fleet::lease::LeaseRecord;
use jaysaddle_fleet::lease::LeaseState;
use jaysaddle_fleet::lease::LeaseTiming;
use jaysaddle_fleet::lease::LeaseWrite;
use jaysaddle_fleet::lease::TermNode;
use jaysaddle_fleet::table::BackendTable;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::serving::GroupMembership;
use jaysaddle_types::serving::MemberPhase;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use quickcheck::QuickCheck;

use crate::fake::FakeFleet;
use crate::fake::LARGE;
use crate::fake::SMALL;
use crate::fake::entry;
use crate::fake::vm;

/// What a node learns of a term before it acquires the lease.
fn events_with(term: LeaseEpoch) -> Vec<LeaseEvent> {
    let record = LeaseRecord {
        holder: None,
        term,
        write_number: u64::MAX,
    };
    let claim = LeaseClaim {
        term,
        version: ObjectVersion(4),
        remaining: TimeSpan(u64::MAX),
    };
    vec![
        LeaseEvent::TermSeen(term),
        LeaseEvent::Read(Some((ObjectVersion(5), record))),
        LeaseEvent::Claimed(claim),
    ]
}

/// The term that a node holds ten seconds after an event, if it is the latest that the node knows.
fn term_after(event: LeaseEvent) -> Option<LeaseEpoch> {
    let node = NodeId::new("a");
    let key = NodeKey {
        id: node,
        incarnation: Incarnation(1),
    };
    let mut lease = LeaseState::new(key, TermNode(7), LeaseTiming::default());
    let mut pending = lease.step(event, Timestamp(1000));
    for now in (1000..11_000).step_by(100) {
        let now = Timestamp(now);
        let tick = LeaseEvent::Tick {
            rank: 0,
            is_store_unreachable: false,
        };
        pending.extend(lease.step(tick, now));
        while let Some(effect) = pending.pop() {
            let answer = match effect {
                LeaseEffect::Read => LeaseEvent::Read(None),
                LeaseEffect::Write { .. } => LeaseEvent::Written(LeaseWrite::Done {
                    version: ObjectVersion(6),
                }),
                _ => continue,
            };
            pending.extend(lease.step(answer, now));
        }
    }
    let held = lease.held_term(Timestamp(11_000));
    held.filter(|term| *term == lease.latest_term())
}

/// Guards against a term out of range that leaves the fleet without a holder, or with generations of groups that are lower than
/// those before, which backend servers refuse.
#[test]
fn terms_out_of_range_do_not_hinder_the_next_holder() {
    fn check(term: u64, shift: u32) -> bool {
        let odd = LeaseEpoch(term >> (shift % 64));
        events_with(odd).into_iter().all(|event| {
            term_after(event).is_some_and(|term| {
                let first = group_generation(term, 0);
                let is_exact = first.0 >> 20 == term.0;
                is_exact && group_generation(TermNode(7).term_after(term), 0) > first
            })
        })
    }
    QuickCheck::new()
        .tests(200)
        .quickcheck(check as fn(u64, u32) -> bool);
    for shift in [0, 16, 20, 21] {
        assert!(check(u64::MAX, shift), "{shift}");
    }
}

fn odd_membership(epoch: u64) -> GroupMembership {
    let number = epoch & ((1 << 20) - 1);
    GroupMembership {
        key: GroupKey {
            group: GroupId::new(group_name(LeaseEpoch(epoch >> 20), number)),
            generation: Generation(epoch),
        },
        rank: u32::MAX,
        phase: MemberPhase::Open,
    }
}

/// Guards against an entry whose group names the last possible term, so that all later groups have lower generations.
#[test]
fn entry_with_the_last_term_is_not_believed() {
    let mut table = BackendTable::default();
    for (number, epoch) in [u64::MAX, u64::MAX - (1 << 20), 9 << 20]
        .into_iter()
        .enumerate()
    {
        let mut row = entry(&format!("vm{number}"), "d0");
        row.membership = Some(odd_membership(epoch));
        table.put(row, Timestamp(1000));
    }
    assert_eq!(latest_reported_term(&table), LeaseEpoch(9));
}

/// Guards against one backend server with an odd report or entry that ends the controller or keeps
/// the other VMs from serving.
#[test]
fn other_vms_serve_beside_one_with_odd_values() {
    let mut fleet = FakeFleet::new(10);
    let odd = vm("vm9");
    fleet.set_order_count(&odd, u64::MAX);
    fleet.add_vm("odd", "d0");
    fleet.stale.insert(vm("odd"));
    let mut row = entry("odd", "d0");
    row.slots.0 = u32::MAX;
    row.started = u64::MAX;
    row.membership = Some(odd_membership(u64::MAX));
    row.cold_left = TimeSpan(u64::MAX);
    fleet.table.put(row, Timestamp(1000));
    fleet.advance(60_000);
    let served = 4 * fleet.serving_groups(LARGE).len() + 2 * fleet.serving_groups(SMALL).len();
    assert!(served >= 8, "{served}: {:#?}", fleet.decisions);
}
