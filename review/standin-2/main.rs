//! Runs a case of the review: starts the nodes with stand-ins for the platform, the runners and the clients, brings the
//! disruption about, and judges what clients and runners saw.
//!
//! Usage: `case NAME FOLDER`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//! With TROUBLE=0 in the environment it does the same without the disruption.

mod changed_settings;
mod foreign_answer;
mod http;
mod json;
mod large_bodies;
mod runner;
mod store;
mod world;

use std::env;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::path::PathBuf;
use std::process::exit;

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: case NAME FOLDER");
        exit(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let temporary = env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let world = world::World::start(PathBuf::from(folder), temporary.clone());
    // The nodes' processes are ended in any case.
    let result = catch_unwind(AssertUnwindSafe(|| match name.as_str() {
        "foreign-answer" => foreign_answer::run(&world, has_trouble),
        "changed-settings" => changed_settings::run(&world, has_trouble),
        "large-bodies" => large_bodies::run(&world, has_trouble),
        other => Err(format!("unknown case {other}")),
    }));
    let result = result.unwrap_or_else(|_| Err("the stand-in has failed".to_owned()));
    world.end_nodes();
    if env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let violations = world.violations();
    let status = match result {
        Err(reason) => {
            world.record(&format!("could not run: {reason}"));
            println!("could not run: {reason}");
            2
        }
        Ok(()) if violations.is_empty() => {
            println!("the rule held");
            0
        }
        Ok(()) => {
            println!("the rule was broken: {}", violations.join("; "));
            1
        }
    };
    exit(status);
}
