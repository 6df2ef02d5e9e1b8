//! Timeouts around a pause of the process.

use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use jaysaddle_entry::own_pause::timeout_awake;
use jaysaddle_types::units::TimeSpan;
use tokio::io::AsyncReadExt;
use tokio::runtime::Builder;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

/// Limit of the wait.
const LIMIT: TimeSpan = TimeSpan(100);

/// Waits for a byte that arrives in a pause of the process, through a task that reads it and one that passes it on.
/// Returns whether it was received.
async fn receive_after_pause(pause: Duration) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let mut sender = TcpStream::connect(address).expect("a connection");
    let (receiver, _) = listener.accept().expect("a connection");
    receiver.set_nonblocking(true).expect("a socket");
    let mut receiver = tokio::net::TcpStream::from_std(receiver).expect("a socket");
    let (read, read_byte) = oneshot::channel();
    let (passed_on, byte) = oneshot::channel();
    spawn_local(async move {
        let _ = read.send(receiver.read_u8().await);
    });
    spawn_local(async move {
        let _ = passed_on.send(read_byte.await);
    });
    spawn_local(async move {
        thread::sleep(pause);
        sender.write_all(b"x").expect("the byte can be sent");
    });
    timeout_awake(LIMIT, byte).await.is_some()
}

/// Guards against a node that takes its own pause for the silence of the store: the pause ends so soon after the end of a wait
/// that the wait does not show it, and what has arrived meanwhile is not read any more.
#[test]
fn data_that_arrived_in_a_pause_is_read_although_its_time_is_up() {
    for after_limit in [0, 5, 20, 50, 95, 150] {
        let pause = LIMIT.as_duration() + Duration::from_millis(after_limit);
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("a runtime can be started");
        let is_received = LocalSet::new().block_on(&runtime, receive_after_pause(pause));
        assert!(is_received, "{after_limit} ms");
    }
}
