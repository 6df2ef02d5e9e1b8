//! The settings of all machines change, with SIGHUP, and the machines are then stopped and started in turn.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::world::HOST;
use crate::world::KEY;
use crate::world::World;
use crate::world::manifest;
use crate::world::read_response;

const NODES: usize = 3;
/// New value of `graceS`, a fraction.
const NEW_GRACE: &str = "7.5";
const GRACE: Duration = Duration::from_millis(7500);
const RESTART_DELAY: Duration = Duration::from_millis(500);
const GAP: Duration = Duration::from_secs(4);
/// Rule: ends within a second of a disruption on the machine do not count.
const EXCUSED: Duration = Duration::from_secs(1);
/// Rule: processes end by themselves three times on two machines at least.
const MAX_ENDS: usize = 2;
const MIN_MACHINES: usize = 2;

fn client(world: &World, is_over: &AtomicBool) {
    let mut sent = 0_u64;
    while !is_over.load(Ordering::Relaxed) {
        sent += 1;
        let id = format!("{sent:016x}");
        let addresses: Vec<_> = world.nodes().iter().map(|node| node.callers).collect();
        let address = addresses[sent as usize % addresses.len()];
        let request = format!(
            "GET /look/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1000\r\nApi-Key: {KEY}\r\n\
             Connection: close\r\n\r\n"
        );
        let outcome = TcpStream::connect(address).and_then(|mut stream| {
            stream.set_read_timeout(Some(Duration::from_secs(2)))?;
            stream.write_all(request.as_bytes())?;
            Ok(read_response(stream))
        });
        world.record(&format!("answered {id} by {address}: {outcome:?}"));
        thread::sleep(Duration::from_millis(100));
    }
}

/// Whether the process of a node has ended.
fn has_ended(world: &World, number: usize) -> bool {
    world.nodes()[number]
        .process
        .try_wait()
        .is_ok_and(|status| status.is_some())
}

pub fn run(world: &Arc<World>, has_trouble: bool) -> Result<(), String> {
    world.store.put("config", "main", manifest(1 << 20));
    for _ in 0..2 {
        world.add_runner("erp", false);
    }
    for _ in 0..NODES {
        world.start_node(260);
    }
    if !world.wait_for(Duration::from_secs(20), || world.is_ready()) {
        return Err("the nodes are not ready".to_owned());
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let (asking, ending) = (world.clone(), is_over.clone());
    let asking = thread::spawn(move || client(&asking, &ending));
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        for number in 0..NODES {
            world.change_setting(number, "bounds.graceS", NEW_GRACE);
            world.signal(number, "HUP");
        }
        world.record(&format!(
            "graceS changes to {NEW_GRACE} on all machines, with SIGHUP"
        ));
    }
    thread::sleep(GAP);
    let mut ends = [0; NODES];
    let mut started = [Instant::now(); NODES];
    for number in 0..NODES {
        world.record(&format!("SIGTERM of machine {}", number + 1));
        world.signal(number, "TERM");
        world.wait_for(GRACE, || has_ended(world, number));
        world.kill_node(number);
        thread::sleep(RESTART_DELAY);
        world.restart_node(number);
        started[number] = Instant::now();
        world.record(&format!("machine {} starts again", number + 1));
        let end = Instant::now() + GAP;
        while Instant::now() < end {
            for (other, ends) in ends.iter_mut().enumerate().take(number + 1) {
                if has_ended(world, other) {
                    *ends += usize::from(started[other].elapsed() >= EXCUSED);
                    world.record(&format!(
                        "the process of machine {} has ended by itself",
                        other + 1
                    ));
                    thread::sleep(RESTART_DELAY);
                    world.restart_node(other);
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
    is_over.store(true, Ordering::Relaxed);
    let _ = asking.join();
    world.record(&format!(
        "ends of processes {ends:?}, all ready: {}",
        world.is_ready()
    ));
    let machines = ends.iter().filter(|ends| **ends > MAX_ENDS).count();
    if machines >= MIN_MACHINES {
        world.violation(&format!(
            "Fault: processes end by themselves more than {MAX_ENDS} times on {machines} machines"
        ));
    }
    Ok(())
}
