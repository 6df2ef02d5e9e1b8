//! Messages that no correct peer sends.

use jaysaddle_membership::MembershipEvent;
use jaysaddle_membership::MembershipSettings;
use jaysaddle_membership::MembershipTracker;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::units::Timestamp;
use jaysaddle_wire::messages::AckMessage;
use jaysaddle_wire::messages::NodeRumor;
use jaysaddle_wire::messages::NodeRun;
use jaysaddle_wire::messages::OriginDigest;
use jaysaddle_wire::messages::PeerBody;
use jaysaddle_wire::messages::PeerMessage;
use jaysaddle_wire::messages::PingMessage;
use jaysaddle_wire::messages::PingRequestMessage;
use jaysaddle_wire::messages::SyncReplyMessage;
use jaysaddle_wire::messages::SyncRequestMessage;
use jaysaddle_wire::messages::VmRumor;
use jaysaddle_wire::messages::WireRumor;
use jaysaddle_wire::messages::WireRumorBody;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::network::address;
use crate::network::key;
use crate::network::record;

const GENERATOR_SEED: u64 = 20_261_203;

/// A message whose fields are chosen from edge cases.
#[derive(Clone, Debug)]
struct MalformedMessage(PeerMessage);

fn number(g: &mut Gen) -> u64 {
    g.choose(&[0, 1, 2, 3, 7, 1 << 32, u64::MAX - 1, u64::MAX])
        .copied()
        .unwrap_or(0)
}

fn text(g: &mut Gen) -> String {
    let choices = ["", "entry-0", "entry-1", "10.0.0.1:7401", "x y", "hall-a"];
    g.choose(&choices).map_or("", |text| text).to_owned()
}

fn run(g: &mut Gen) -> Option<NodeRun> {
    bool::arbitrary(g).then(|| NodeRun {
        id: text(g),
        incarnation: number(g),
    })
}

fn rumor(g: &mut Gen) -> WireRumor {
    let node = NodeRumor {
        node: run(g),
        revision: number(g),
        state: number(g) as u32,
        callers: "10.0.0.9:7400".to_owned(),
        peers: text(g),
        failure_domain: text(g),
        region: "tn-north".to_owned(),
        dead_ms: number(g),
    };
    let vm = VmRumor {
        vm: text(g),
        finding: number(g) as u32,
        cut_off: false,
    };
    let bodies = [
        None,
        Some(WireRumorBody::Node(node.clone())),
        Some(WireRumorBody::Node(node)),
        Some(WireRumorBody::Vm(vm)),
    ];
    WireRumor {
        origin: run(g),
        sequence: number(g),
        body: g.choose(&bodies).cloned().flatten(),
    }
}

fn rumors(g: &mut Gen) -> Vec<WireRumor> {
    (0..u8::arbitrary(g) % 4).map(|_| rumor(g)).collect()
}

fn sync_request(g: &mut Gen) -> SyncRequestMessage {
    let origins = (0..u8::arbitrary(g) % 3).map(|_| OriginDigest {
        origin: run(g),
        sequence: number(g),
        digest: number(g),
        claim_rank: number(g),
    });
    SyncRequestMessage {
        origins: origins.collect(),
        digest: number(g),
        rumors: rumors(g),
        bucket_count: number(g) as u32,
        buckets: vec![number(g) as u32; 2],
    }
}

impl Arbitrary for MalformedMessage {
    fn arbitrary(g: &mut Gen) -> Self {
        let body = match u8::arbitrary(g) % 6 {
            0 => Some(PeerBody::Ping(PingMessage {
                nonce: number(g),
                relay_to: Some(text(g)),
                rumors: rumors(g),
            })),
            1 => Some(PeerBody::Ack(AckMessage {
                nonce: number(g),
                responder: run(g),
                rumors: rumors(g),
                relay_to: Some(text(g)),
            })),
            2 => Some(PeerBody::PingRequest(PingRequestMessage {
                nonce: number(g),
                target: text(g),
                rumors: rumors(g),
            })),
            3 => Some(PeerBody::SyncRequest(sync_request(g))),
            4 => Some(PeerBody::SyncReply(SyncReplyMessage {
                rumors: rumors(g),
                request: bool::arbitrary(g).then(|| sync_request(g)),
                need_origins: bool::arbitrary(g),
                buckets: vec![7; usize::arbitrary(g) % 2000],
            })),
            _ => None,
        };
        Self(PeerMessage {
            from_id: text(g),
            from_incarnation: number(g),
            body,
        })
    }
}

/// Guards against a message that makes a tracker panic or consider its own run dead.
#[test]
fn malformed_messages_cause_no_panic_or_self_death() {
    fn property(messages: Vec<MalformedMessage>) -> bool {
        let settings = MembershipSettings::default();
        let seeds = vec![address(1)];
        let mut tracker = MembershipTracker::new(settings, record(5, 1), seeds, 1);
        let mut now = 0;
        for MalformedMessage(message) in messages {
            now += 700;
            tracker.step(MembershipEvent::Received(message), Timestamp(now));
            tracker.step(MembershipEvent::Tick, Timestamp(now));
        }
        let own = tracker.record(&key(5, 1)).map(|(_, state)| state);
        own == Some(NodeState::Alive) && tracker.reachable_permille(Timestamp(now)) <= 1000
    }
    println!("generator seed {GENERATOR_SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, GENERATOR_SEED))
        .tests(1000)
        .quickcheck(property as fn(Vec<MalformedMessage>) -> bool);
}
