//! Copies between nodes over slow links.

use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::thread;
use std::time::Duration;

use jaysaddle_platform_standin::stream_config;
use jaysaddle_wire::heartbeat::NodeHeartbeat;
use jaysaddle_wire::heartbeat::SnapshotReply;
use prost::Message;

use crate::platform_nodes::KEY;
use crate::platform_nodes::PlatformNodes;
use crate::process::wait_for;

/// Address beside that of a node, which no process uses.
fn unused_address(node: IpAddr) -> IpAddr {
    let IpAddr::V4(node) = node else {
        panic!("{node} is no IPv4 address");
    };
    let [a, b, c, _] = node.octets();
    IpAddr::from([a, b, c, 99])
}

/// Guards against a copy from a peer that ends because it takes long on a slow link, and begins anew without end.
#[test]
fn slow_copy_of_a_configuration_is_completed() {
    let nodes = PlatformNodes::start(1, 2);
    nodes.wait_serving(1);
    let node = nodes.addresses[0];
    let address = SocketAddr::new(unused_address(node), 7703);
    let peer = TcpListener::bind(address).expect("the address is free");
    let config = stream_config(9, &nodes.addresses, KEY);
    let reply = SnapshotReply {
        config: config.to_string().into_bytes(),
        ..SnapshotReply::default()
    };
    let reply = reply.encode_to_vec();
    let heartbeat = NodeHeartbeat {
        node: "slow-peer".to_owned(),
        incarnation: 1,
        failure_domain: "b".to_owned(),
        caller_address: address.to_string(),
        peer_address: address.to_string(),
        phase: 1,
        config_version: 9,
        ..NodeHeartbeat::default()
    };
    let socket = UdpSocket::bind(address).expect("the address is free");
    thread::spawn(move || {
        while let Ok((mut stream, _)) = peer.accept() {
            let reply = reply.clone();
            thread::spawn(move || {
                // The end of the connection shows at the next write.
                let _ = stream.read(&mut [0; 1024]);
                let length = u32::try_from(reply.len())
                    .expect("a short reply")
                    .to_be_bytes();
                for part in [&length[..], &reply].concat().chunks(reply.len() / 12) {
                    thread::sleep(Duration::from_millis(200));
                    if stream.write_all(part).is_err() {
                        return;
                    }
                }
                thread::sleep(Duration::from_secs(1));
            });
        }
    });
    let is_copied = wait_for(Duration::from_millis(200), || {
        let sent = socket.send_to(&heartbeat.encode_to_vec(), (node, 7703));
        sent.expect("the heartbeat is sent");
        nodes.log(0).contains("event=config_in_force version=9")
    });
    assert!(is_copied, "{}", nodes.log(0));
}
