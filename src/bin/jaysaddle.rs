//! Command-line tool for operators of a jaysaddle deployment.

use std::process::ExitCode;

use jaysaddle::commands;

fn main() -> ExitCode {
    let command = commands::tool_command().run();
    match commands::run(&command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("jaysaddle: {failure}");
            failure.exit_code()
        }
    }
}
