//! Subcommands of `jaysaddle-standin`, one module each.

pub mod engine;
pub mod platform;
pub mod service;
pub mod weights;

use std::fmt::Display;
use std::io::Write;
use std::net::SocketAddr;
use std::thread;

use eyre::WrapErr;

/// Prints the bound address for the parent process, which may have requested port 0.
fn print_listening(role: &impl Display, address: SocketAddr) -> eyre::Result<()> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "listening {role} {address}")
        .and_then(|()| out.flush())
        .wrap_err("failed to write to standard output")
}

/// Parks the main thread until the process is killed.
fn run_forever() -> ! {
    loop {
        thread::park();
    }
}
