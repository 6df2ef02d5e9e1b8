//! Subcommands of `jaysaddle-standin`.

pub mod engine;
pub mod platform;
pub mod service;
pub mod weights;

use std::fmt::Display;
use std::io::Write;
use std::net::SocketAddr;
use std::thread;

use eyre::WrapErr;

/// Tells the process that started this one which address is in use.
fn print_listening(role: &impl Display, address: SocketAddr) -> eyre::Result<()> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "listening {role} {address}")
        .and_then(|()| out.flush())
        .wrap_err("cannot write to standard output")
}

/// Runs until the process is killed.
fn run_forever() -> ! {
    loop {
        thread::park();
    }
}
