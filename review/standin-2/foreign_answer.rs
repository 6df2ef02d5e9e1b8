//! An order is left unanswered and carried out late, while a second copy of an earlier answer arrives in its place.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::world::HOST;
use crate::world::KEY;
use crate::world::World;
use crate::world::manifest;
use crate::world::read_response;

const NODES: usize = 3;
const RUNNERS: usize = 10;
const CLIENTS: u64 = 24;
const CLIENT_PAUSE: Duration = Duration::from_millis(50);
/// Time for which one member is partitioned from the store.
const CUT_TIME: Duration = Duration::from_secs(6);
/// Time after which the unanswered order is carried out.
const LATE_TIME: Duration = Duration::from_secs(3);

/// Heads of open groups.
fn open_heads(world: &World) -> Vec<usize> {
    let runners = world.runners();
    let open = runners.iter().enumerate().filter(|(_, runner)| {
        let group = runner.group.as_ref();
        group.is_some_and(|group| group.rank == 0 && group.state == "open")
    });
    open.map(|(number, _)| number).collect()
}

fn client(world: &World, number: u64, count: &AtomicU64) {
    let sent = count.fetch_add(1, Ordering::Relaxed);
    let id = format!("{number:04x}{sent:012x}");
    let addresses: Vec<_> = world.nodes().iter().map(|node| node.callers).collect();
    let address = addresses[(number + sent) as usize % addresses.len()];
    let request = format!(
        "POST /chat/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Model: m0\r\nX-Token-Counts: 200,25\r\n\
         X-Prefix-Hash: 5c1e07a2:40,{id}:160\r\nX-Deadline-Ms: 8000\r\nApi-Key: {KEY}\r\nConnection: close\r\n\
         Content-Length: 5\r\n\r\nhello"
    );
    world.record(&format!("sent {id} to {address}"));
    let outcome = TcpStream::connect(address).and_then(|mut stream| {
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        stream.write_all(request.as_bytes())?;
        Ok(read_response(stream))
    });
    world.record(&format!("answered {id}: {outcome:?}"));
}

pub fn run(world: &Arc<World>, has_trouble: bool) -> Result<(), String> {
    world.store.put("config", "main", manifest(1 << 20));
    for _ in 0..RUNNERS {
        world.add_runner("lm", true);
    }
    for _ in 0..NODES {
        world.start_node(260);
    }
    let is_up = world.wait_for(Duration::from_secs(30), || {
        world.is_ready() && world.open_groups() >= 2
    });
    if !is_up {
        return Err("the nodes did not form two groups".to_owned());
    }
    thread::sleep(Duration::from_secs(5));
    world.begin_traffic();
    let is_over = Arc::new(AtomicBool::new(false));
    let count = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (world, is_over, count) = (world.clone(), is_over.clone(), count.clone());
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    client(&world, number, &count);
                    thread::sleep(CLIENT_PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(8));
    let heads = open_heads(world);
    let head = *heads.first().ok_or("no group is open")?;
    let members = world.runners()[head]
        .group
        .clone()
        .ok_or("no group")?
        .members;
    let cut = {
        let runners = world.runners();
        let last = members.last();
        runners
            .iter()
            .position(|runner| Some(&runner.id) == last)
            .ok_or("no member")?
    };
    if has_trouble {
        let mut runners = world.runners();
        runners[cut].is_cut = true;
        runners[head].late_leave = Some(LATE_TIME);
        let line = format!("{} is partitioned from the store", runners[cut].id);
        drop(runners);
        world.record(&line);
    }
    thread::sleep(CUT_TIME);
    world.runners()[cut].is_cut = false;
    world.record("the partition ends");
    thread::sleep(Duration::from_secs(6));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    Ok(())
}
