//! Logger that writes to standard output without blocking the event loop.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::io;
use std::io::Write;
use std::iter;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use eyre::WrapErr;
use jaysaddle_daemon::clock;
use jaysaddle_types::ids::NodeId;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;

use crate::log_limiter::LogDecision;
use crate::log_limiter::LogLimiter;
use crate::log_line::single_line;

/// Capacity of the queue to the writer thread. At a few hundred lines per second this covers several seconds
/// of a full pipe.
const MAX_QUEUED_LINES: usize = 2048;

/// Number of lines lost because the queue was full or standard output failed. A failed write counts as one line.
static LOST_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of lines lost so far because the queue was full or standard output failed.
pub fn lost_lines() -> u64 {
    LOST_LINES.load(Ordering::Relaxed)
}

/// Time for which a flush waits for the writer thread, so that a full pipe does not keep the process from exiting.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Item for the writer thread.
enum LogItem {
    Line(Vec<u8>),
    /// Notified when all lines before it have been written.
    Flush(flume::Sender<()>),
}

/// Queues lines for the writer thread; drops a line when the queue is full.
struct LogQueue {
    items: flume::Sender<LogItem>,
    limiter: Mutex<LogLimiter>,
}

impl LogQueue {
    fn push(&self, line: Vec<u8>) {
        if self.items.try_send(LogItem::Line(line)).is_err() {
            LOST_LINES.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Log for LogQueue {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut hasher = DefaultHasher::new();
        (record.file(), record.line()).hash(&mut hasher);
        let decision = match self.limiter.lock() {
            Ok(mut limiter) => limiter.decide(hasher.finish(), clock::now()),
            Err(_) => LogDecision::Write { suppressed: 0 },
        };
        let LogDecision::Write { suppressed } = decision else {
            metrics::counter!("jaysaddle_log_lines_left_out_total").increment(1);
            return;
        };
        let mut line = single_line(&record.args().to_string());
        if suppressed > 0 {
            line.push_str(&format!(" left_out_before={suppressed}"));
        }
        line.push('\n');
        self.push(line.into_bytes());
    }

    fn flush(&self) {
        let (sender, receiver) = flume::bounded(1);
        let is_written = self.items.try_send(LogItem::Flush(sender)).is_ok()
            && receiver.recv_timeout(FLUSH_TIMEOUT).is_ok();
        if !is_written {
            // The log itself cannot take this line.
            eprintln!("the log could not be flushed within {FLUSH_TIMEOUT:?}");
        }
    }
}

fn write_lines(items: &flume::Receiver<LogItem>) {
    let mut output = io::stdout();
    let mut reported = 0;
    while let Ok(first) = items.recv() {
        let mut batch = Vec::new();
        let mut flushes = Vec::new();
        for item in iter::once(first).chain(items.try_iter()) {
            match item {
                LogItem::Line(line) => batch.extend_from_slice(&line),
                LogItem::Flush(sender) => flushes.push(sender),
            }
        }
        let lost = LOST_LINES.load(Ordering::Relaxed);
        if lost != reported {
            reported = lost;
            batch.extend_from_slice(format!("level=WARN lost_log_lines={lost}\n").as_bytes());
        }
        // A closed standard output cannot be reported anywhere, so the lines are dropped.
        if output.write_all(&batch).is_err() {
            LOST_LINES.fetch_add(1, Ordering::Relaxed);
        }
        for sender in flushes {
            // The other side has given up if it no longer receives.
            let _ = sender.send(());
        }
    }
}

/// Installs the logger, which writes all log lines of the process to standard output.
///
/// # Errors
///
/// Fails when the level is unknown, the writer thread cannot be started or a logger is already set.
pub fn init(level: &str, node: &NodeId) -> eyre::Result<()> {
    let level: LevelFilter = level
        .parse()
        .wrap_err_with(|| format!("unknown log level {level:?}"))?;
    let (sender, receiver) = flume::bounded(MAX_QUEUED_LINES);
    std::thread::Builder::new()
        .name("log-writer".to_owned())
        .spawn(move || write_lines(&receiver))
        .wrap_err("cannot start the log writer thread")?;
    let node = node.clone();
    let output: Box<dyn Log> = Box::new(LogQueue {
        items: sender,
        limiter: Mutex::default(),
    });
    fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let millis = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default()
                .as_millis();
            out.finish(format_args!(
                "ts={millis} level={} node={node} target={} {message}",
                record.level(),
                record.target(),
            ));
        })
        .chain(output)
        .apply()
        .wrap_err("a logger is already set")
}
