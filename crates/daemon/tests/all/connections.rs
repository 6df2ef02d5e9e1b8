//! Connections of a listener and the wait for undelivered responses.

use std::collections::BTreeSet;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_daemon::connections::OpenConnection;
use jaysaddle_daemon::connections::UndeliveredResponses;
use jaysaddle_daemon::connections::open_connections;
use jaysaddle_daemon::connections::parse_connections;
use jaysaddle_types::units::ByteCount;

const IDLE_TIME: Duration = Duration::from_secs(10);

fn connection(port: u16, unsent: u64) -> OpenConnection {
    OpenConnection {
        peer: SocketAddr::from(([127, 0, 0, 9], port)),
        unsent: ByteCount(unsent),
        is_held: true,
    }
}

/// Guards against connections of other processes or listeners that are taken for connections of this node.
#[test]
fn only_own_connections_of_the_listener_are_found() {
    // 127.0.0.1:7400 to 127.0.0.2:4660, as a machine of this byte order prints it.
    let own = format!("{:08X}:1CE8", u32::from_ne_bytes([127, 0, 0, 1]));
    let peer = format!("{:08X}:1234", u32::from_ne_bytes([127, 0, 0, 2]));
    let none = "00000000:0000";
    let line = |local: &str, remote: &str, state: &str, unsent: &str, inode: &str| {
        format!("0: {local} {remote} {state} {unsent}:00000000 00:00000000 00000000 0 0 {inode} 1")
    };
    let table = [
        "  sl  local_address rem_address   st tx_queue rx_queue".to_owned(),
        line(&own, none, "0A", "00000000", "11"),
        line(&own, &peer, "01", "000000FF", "12"),
        line(&own, &peer, "04", "00000010", "0"),
        line(&own, &peer, "01", "000000FF", "99"),
        line(&peer, &own, "01", "000000FF", "12"),
    ]
    .join("\n");
    let inodes = BTreeSet::from(["11".to_owned(), "12".to_owned()]);
    let listener = SocketAddr::from(([127, 0, 0, 1], 7400));
    let found = parse_connections(&table, listener, &inodes);
    let found: Vec<_> = found
        .iter()
        .map(|one| (one.peer.to_string(), one.unsent.0, one.is_held))
        .collect();
    let peer = "127.0.0.2:4660".to_owned();
    assert_eq!(found, [(peer.clone(), 255, true), (peer, 16, false)]);
}

/// Guards against responses in the system's buffers that are taken for delivered.
#[test]
fn unread_bytes_are_unsent_until_the_caller_reads_them() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let mut caller = TcpStream::connect(address).expect("the listener accepts");
    let (mut stream, _) = listener.accept().expect("a connection");
    stream.set_nonblocking(true).expect("the option can be set");
    let part = vec![0; 64 * 1024];
    let mut written = 0;
    while let Ok(count) = stream.write(&part) {
        written += count;
    }
    let unsent = || {
        let connections = open_connections(address).expect("/proc can be read");
        let caller_address = caller.local_addr().expect("an address");
        let found: Vec<_> = connections
            .into_iter()
            .filter(|one| one.peer == caller_address)
            .collect();
        assert_eq!(found.len(), 1, "{found:?}");
        assert!(found[0].is_held);
        found[0].unsent.0
    };
    assert!(unsent() > 0);
    let mut received = 0;
    let mut buffer = vec![0; 1 << 20];
    while received < written {
        received += (&caller).read(&mut buffer).expect("bytes arrive");
    }
    let started = Instant::now();
    while unsent() > 0 {
        assert!(
            started.elapsed() < Duration::from_secs(60),
            "no acknowledgement"
        );
    }
    caller.flush().expect("the connection is open");
}

/// Guards against a stop that leaves before a slow caller has its response, waits for requests that came later, or waits
/// for a caller that accepts nothing.
#[test]
fn responses_are_waited_for_until_delivered_or_stalled() {
    let start = Instant::now();
    let after = |seconds| start + Duration::from_secs(seconds);
    let mut responses = UndeliveredResponses::new(IDLE_TIME);
    let first = [connection(1, 100), connection(2, 100), connection(3, 0)];
    assert_eq!(responses.update(&first, after(0)), 2);
    let second = [connection(1, 60), connection(2, 100), connection(3, 50)];
    assert_eq!(responses.update(&second, after(9)), 2);
    assert_eq!(responses.update(&second, after(10)), 1, "2 is stalled");
    let third = [connection(1, 0), connection(2, 50)];
    assert_eq!(responses.update(&third, after(11)), 0);
}
