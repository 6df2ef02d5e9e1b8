//! Form of log lines.

use jaysaddle_adapter::backend::parse_entry;
use jaysaddle_adapter::config::parse_config;
use jaysaddle_adapter::orders::parse_report;
use jaysaddle_entry::log_line::MAX_LINE_BYTES;
use jaysaddle_entry::log_line::single_line;
use quickcheck::QuickCheck;
use serde_json::json;

fn is_single_line(line: &str) -> bool {
    line.len() <= MAX_LINE_BYTES + 100 && !line.contains(char::is_control)
}

/// Guards against texts of other writers that begin log lines of their own, or fill the memory of the log's queue.
#[test]
fn any_text_stays_in_one_bounded_line() {
    fn check(text: String, repeat: u16) -> bool {
        is_single_line(&single_line(&text.repeat(usize::from(repeat))))
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(check as fn(String, u16) -> bool);
    assert_eq!(
        single_line("event=a b=\"c\u{e9}\""),
        "event=a b=\"c\u{e9}\""
    );
    assert_eq!(single_line("a\r\nb\u{2028}c"), "a\\r\\nb\\u{2028}c");
}

/// Guards against the errors of odd reports, entries and configurations in lines of many kilobytes.
#[test]
fn errors_of_odd_objects_are_short_lines() {
    let name = "\u{1}\n".repeat(20_000);
    let report =
        json!({"sequence": 1, "group": {"name": name, "epoch": 1, "rank": 0, "state": "open"}});
    let group = parse_report(report.to_string().as_bytes())
        .expect("a report")
        .group;
    let entry = json!({"service": name, "address": "127.0.0.1:1", "zone": "a", "slots": 8, "state": "ready", "sequence": 1});
    let config = json!({"version": 1, "routes": [{"name": name}], "services": []});
    let config = parse_config(&config).expect("a configuration");
    let errors = [
        format!("{:#}", group.expect("a group").key().expect_err("no id")),
        format!("{:#}", parse_entry("i-1", &entry).expect_err("no id")),
        format!("problem=\"{}\"", config.problems[0]),
    ];
    for error in errors {
        println!("{} bytes", error.len());
        assert!(
            is_single_line(&single_line(&error)),
            "{} bytes",
            error.len()
        );
    }
}
