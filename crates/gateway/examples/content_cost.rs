//! Measures what the parts of prompts cost: naming them, and recording survivals and ends of backend servers.
//!
//! `cargo run --release -p jaysaddle-gateway --example content_cost`

use std::hint::black_box;
use std::rc::Rc;
use std::time::Instant;

use jaysaddle_gateway::content::RequestContent;
use jaysaddle_gateway::crash_evidence::PeerRole;
use jaysaddle_gateway::crash_guard::CrashGuard;
use jaysaddle_gateway::server_runs::EndEvidence;
use jaysaddle_gateway::server_runs::RunEnd;
use jaysaddle_gateway::target::ServerNumber;
use jaysaddle_types::units::Timestamp;

/// Requests at a backend server.
const SLOTS: usize = 17;
const ROUNDS: usize = 200;

/// Content of a request. Its parts are those of all requests, or its own.
fn content(parts: usize, number: usize, is_shared: bool) -> Rc<RequestContent> {
    let owner = if is_shared { 0 } else { number };
    let names: Vec<String> = (0..parts)
        .map(|part| format!("{:08x}", owner * 1000 + part))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let id = format!("request-{number}");
    Rc::new(RequestContent::new(&names, &id, "model", &id))
}

/// Median time of `work` in microseconds.
fn median_micros(mut work: impl FnMut(usize)) -> f64 {
    let mut times: Vec<f64> = (0..ROUNDS)
        .map(|round| {
            let start = Instant::now();
            work(round);
            start.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

fn main() {
    println!("median of {ROUNDS} rounds in microseconds");
    for parts in [3, 64, 1000] {
        let names: Vec<String> = (0..parts).map(|part| format!("{part:08x}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let naming = median_micros(|_| {
            black_box(RequestContent::new(black_box(&names), "id", "model", "id"));
        });
        for is_shared in [true, false] {
            let mut guard = CrashGuard::default();
            let mut now = Timestamp(1_000_000);
            let contents: Vec<_> = (0..ROUNDS * SLOTS)
                .map(|number| content(parts, number, is_shared))
                .collect();
            let survival = median_micros(|round| {
                let server = ServerNumber(round as u32);
                let run = guard.begin_run(server, contents[round].clone(), now);
                guard.record_data(server, run, now);
                now = Timestamp(now.0 + 1100);
                guard.record_data(server, run, now);
                guard.end_run(server, run, RunEnd::Answered, now);
            });
            let mut guard = CrashGuard::default();
            let mut now = Timestamp(1_000_000);
            let mut check = 0.0;
            let mut weighing = 0.0;
            let end = median_micros(|round| {
                let server = ServerNumber(round as u32);
                for slot in 0..SLOTS {
                    let number = round * SLOTS + slot;
                    let run = guard.begin_run(server, contents[number].clone(), now);
                    guard.end_run(server, run, RunEnd::Broken, now);
                }
                guard.record_server_end(server, EndEvidence::Refused, now);
                now = Timestamp(now.0 + 700);
                if round == ROUNDS - 1 {
                    let start = Instant::now();
                    black_box(guard.decide(PeerRole::Direct, now));
                    weighing = start.elapsed().as_secs_f64() * 1e6;
                    let start = Instant::now();
                    black_box(guard.announced_facts(PeerRole::Direct, now));
                    check = start.elapsed().as_secs_f64() * 1e6;
                }
            });
            println!(
                "parts={parts} shared={is_shared} naming={naming:.1} survival={survival:.1} end_of_server={end:.0} \
                 decide={weighing:.0} announce={check:.0} pieces={}",
                guard.suspects()
            );
        }
    }
}
