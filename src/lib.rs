//! Subcommands of the `jaysaddle` command-line tool and the readers of its input files.

pub mod client;
pub mod commands;
pub mod exit;
pub mod saved_log;
pub mod table;
pub mod trace;
