//! The usual number of clients send bodies as long as the manifest allows, while most machines are lost.
//!
//! The platform kills a process that takes more memory than its machine has, and starts it again.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::world::HOST;
use crate::world::KEY;
use crate::world::World;
use crate::world::manifest;
use crate::world::read_response;
use crate::world::resolve;

/// Machines, their memory and the clients of the deployment `mrd-jaysaddle`.
const NODES: usize = 6;
const MEMORY_MB: u64 = 260;
const CLIENTS: u64 = 97;
/// Runners for six groups, with 102 places.
const RUNNERS: usize = 24;
/// `maxBodyBytes` of its manifest. Bodies are just below.
const MAX_BODY: usize = 4 << 20;
const BODY: usize = MAX_BODY - 1024;
/// Machines that are lost.
const LOST: usize = 4;
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Rule: processes end by themselves three times on two machines at least.
const MAX_ENDS: usize = 2;
const MIN_MACHINES: usize = 2;

/// Resident memory of a process, in MB.
fn resident_mb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1024
}

fn send(world: &World, id: &str, address: SocketAddr, body: &[u8]) {
    let head = format!(
        "POST /chat/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Model: m0\r\nX-Token-Counts: 979,175\r\n\
         X-Prefix-Hash: 5c1e07a2:40,{id}:939\r\nX-Deadline-Ms: 8000\r\nApi-Key: {KEY}\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    world.record(&format!("sent {id} to {address}"));
    let outcome =
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).and_then(|mut stream| {
            stream.set_read_timeout(Some(Duration::from_secs(8)))?;
            stream.write_all(head.as_bytes())?;
            for part in body.chunks(64 << 10) {
                stream.write_all(part)?;
                // About 25 Mbit/s for each client.
                thread::sleep(Duration::from_millis(20));
            }
            Ok(read_response(stream))
        });
    world.record(&format!("answered {id}: {outcome:?}"));
}

pub fn run(world: &Arc<World>, has_trouble: bool) -> Result<(), String> {
    world.store.put("config", "main", manifest(MAX_BODY as u64));
    for _ in 0..RUNNERS {
        world.add_runner("lm", true);
    }
    for _ in 0..NODES {
        world.start_node(MEMORY_MB);
    }
    let is_up = world.wait_for(Duration::from_secs(30), || {
        world.is_ready() && world.open_groups() >= RUNNERS / 4
    });
    if !is_up {
        return Err("the nodes did not form the groups".to_owned());
    }
    world.begin_traffic();
    let is_over = Arc::new(AtomicBool::new(false));
    let addresses: Arc<Mutex<Vec<SocketAddr>>> = Arc::default();
    let (resolving, known, ending) = (world.clone(), addresses.clone(), is_over.clone());
    let resolver = thread::spawn(move || {
        while !ending.load(Ordering::Relaxed) {
            let directories: Vec<SocketAddr> = resolving
                .nodes()
                .iter()
                .map(|node| node.directory)
                .collect();
            if let Some(found) = directories.into_iter().rev().find_map(resolve) {
                *known.lock().unwrap_or_else(PoisonError::into_inner) = found;
            }
            thread::sleep(Duration::from_secs(1));
        }
    });
    thread::sleep(Duration::from_secs(1));
    let body = Arc::new(vec![b'a'; BODY]);
    let count = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (world, body, is_over) = (world.clone(), body.clone(), is_over.clone());
            let (count, addresses) = (count.clone(), addresses.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(13 * number));
                while !is_over.load(Ordering::Relaxed) {
                    let sent = count.fetch_add(1, Ordering::Relaxed);
                    let known = addresses
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .clone();
                    if !known.is_empty() {
                        let choice = (sent.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize;
                        send(
                            &world,
                            &format!("{sent:016x}"),
                            known[choice % known.len()],
                            &body,
                        );
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    let mut ends = [0; NODES];
    let mut most = [0; NODES];
    let start = Instant::now();
    let mut is_lost = false;
    while start.elapsed() < Duration::from_secs(45) {
        if has_trouble && !is_lost && start.elapsed() >= Duration::from_secs(8) {
            is_lost = true;
            for number in 0..LOST {
                world.kill_node(number);
            }
            world.record(&format!("{LOST} of {NODES} machines are lost"));
        }
        let first = if is_lost { LOST } else { 0 };
        for number in first..NODES {
            let pid = world.nodes()[number].process.id();
            let resident = resident_mb(pid);
            most[number] = most[number].max(resident);
            if resident <= MEMORY_MB {
                continue;
            }
            world.kill_node(number);
            ends[number] += 1;
            world.record(&format!(
                "machine {} ends a process that takes {resident} of {MEMORY_MB} MB",
                number + 1
            ));
            let world = world.clone();
            thread::spawn(move || {
                thread::sleep(RESTART_DELAY);
                world.restart_node(number);
            });
        }
        thread::sleep(Duration::from_millis(20));
    }
    world.record(&format!(
        "ends of processes {ends:?}, largest memory {most:?} MB"
    ));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let _ = resolver.join();
    thread::sleep(RESTART_DELAY * 2);
    let machines = ends.iter().filter(|ends| **ends > MAX_ENDS).count();
    if machines >= MIN_MACHINES {
        world.violation(&format!(
            "Fault: processes end by themselves more than {MAX_ENDS} times on {machines} machines"
        ));
    }
    Ok(())
}
