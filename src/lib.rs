//! The programs of jaysaddle: the subcommands of the command-line tool.

pub mod client;
pub mod commands;
pub mod exit;
pub mod saved_log;
pub mod table;
pub mod trace;
