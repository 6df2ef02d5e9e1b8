//! Log lines on standard output that never hold up the event loop.

use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use eyre::WrapErr;
use jaysaddle_types::ids::NodeId;
use log::LevelFilter;

/// Lines that wait for the writer; at a few hundred lines a second this covers seconds of a full pipe.
const QUEUED_LINES: usize = 2048;

/// Lines that found the queue full.
static LOST_LINES: AtomicU64 = AtomicU64::new(0);

struct LineSender {
    lines: flume::Sender<Vec<u8>>,
}

impl Write for LineSender {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(buffer.to_vec()).is_err() {
            LOST_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buffer.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(lines: &flume::Receiver<Vec<u8>>) {
    let mut output = io::stdout();
    let mut reported = 0;
    while let Ok(first) = lines.recv() {
        let mut batch = first;
        while let Ok(line) = lines.try_recv() {
            batch.extend_from_slice(&line);
        }
        let lost = LOST_LINES.load(Ordering::Relaxed);
        if lost != reported {
            reported = lost;
            batch.extend_from_slice(format!("level=WARN lost_log_lines={lost}\n").as_bytes());
        }
        // Nobody is left to tell when standard output is closed; the lines are dropped.
        if output.write_all(&batch).is_err() {
            LOST_LINES.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Sends all log lines of the process to standard output.
///
/// # Errors
///
/// Fails when the level is unknown, the writer thread cannot be started or a logger is set already.
pub fn init(level: &str, node: &NodeId) -> eyre::Result<()> {
    let level: LevelFilter = level
        .parse()
        .wrap_err_with(|| format!("log level {level:?} is unknown"))?;
    let (sender, receiver) = flume::bounded(QUEUED_LINES);
    std::thread::Builder::new()
        .name("log-writer".to_owned())
        .spawn(move || write_lines(&receiver))
        .wrap_err("the log writer cannot be started")?;
    let node = node.clone();
    let output: Box<dyn Write + Send> = Box::new(LineSender { lines: sender });
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
        .wrap_err("a logger is set already")
}
