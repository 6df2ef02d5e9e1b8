//! Child processes of a test, and parsed HTTP responses of nodes.

use std::fs;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;

use crate::deployment::MAX_WAIT;

/// Interval at which a watched process is checked.
const EXIT_INTERVAL: Duration = Duration::from_millis(10);

/// A child process that is killed on drop.
pub struct TestProcess {
    /// Name used in failure messages.
    pub name: String,
    child: Child,
    /// Whether the process has been reaped. Its id may then belong to another process.
    is_reaped: AtomicBool,
}

impl TestProcess {
    pub(crate) fn spawn(name: &str, mut command: Command, log: PathBuf) -> Self {
        let file = fs::File::create(&log).expect("the log file can be created");
        let child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file)
            .spawn()
            .unwrap_or_else(|error| panic!("{name} cannot be started: {error}"));
        Self {
            name: name.to_owned(),
            child,
            is_reaped: AtomicBool::new(false),
        }
    }

    /// Waits for `count` lines that start with `listening`.
    pub(crate) fn wait_listening(&mut self, count: usize) {
        let output = self
            .child
            .stdout
            .take()
            .expect("standard output is piped and not taken yet");
        let mut lines = BufReader::new(output).lines();
        for _ in 0..count {
            let line = lines.next().and_then(Result::ok).unwrap_or_default();
            assert!(line.starts_with("listening"), "{}: {line:?}", self.name);
        }
        // Keep reading, so that the process never blocks on a full pipe.
        thread::spawn(move || lines.for_each(drop));
    }

    /// Copies the standard output of the process to a file.
    pub(crate) fn copy_output(&mut self, log: &Path) {
        let mut output = self
            .child
            .stdout
            .take()
            .expect("standard output is piped and not taken yet");
        let mut file = fs::File::create(log).expect("the log file can be created");
        thread::spawn(move || io::copy(&mut output, &mut file));
    }

    /// Sends a signal, unless the process has been reaped. Returns whether it was sent.
    pub(crate) fn signal(&self, signal: Signal) -> bool {
        if self.is_reaped.load(Ordering::SeqCst) {
            return false;
        }
        let pid = Pid::from_child(&self.child);
        // The process may have exited already, which is not an error here.
        let _ = kill_process(pid, signal);
        true
    }

    /// Suspends the process (SIGSTOP), which simulates a paused VM.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Continues a paused process (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills the process (SIGKILL) and reaps it, which simulates a failed VM.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        let _ = self.child.wait();
        self.is_reaped.store(true, Ordering::SeqCst);
    }

    /// Sends SIGKILL without reaping the process, so a shared reference suffices.
    pub fn send_kill(&self) {
        self.signal(Signal::KILL);
    }

    /// Requests a graceful stop (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Requests a reload of the settings (SIGHUP).
    pub fn send_hangup(&self) {
        self.signal(Signal::HUP);
    }

    /// Starts a thread that returns when the process has exited, without reaping it.
    pub fn watch_exit(&self) -> JoinHandle<Instant> {
        let path = format!("/proc/{}/status", self.child.id());
        thread::spawn(move || {
            loop {
                let status = fs::read_to_string(&path).unwrap_or_default();
                let state = status.lines().find_map(|line| line.strip_prefix("State:"));
                // A process that has exited is a zombie until it is reaped.
                if state.is_none_or(|state| state.trim_start().starts_with('Z')) {
                    return Instant::now();
                }
                thread::sleep(EXIT_INTERVAL);
            }
        })
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        let has_exited = matches!(self.child.try_wait(), Ok(Some(_)));
        self.is_reaped.fetch_or(has_exited, Ordering::SeqCst);
        has_exited
    }

    /// Waits until the process exits and returns its exit code; `None` after a fatal signal.
    pub fn wait_exit(&mut self) -> Option<i32> {
        let started = Instant::now();
        while started.elapsed() < MAX_WAIT {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.is_reaped.store(true, Ordering::SeqCst);
                return status.code();
            }
            thread::sleep(Duration::from_millis(20));
        }
        panic!("{} did not exit within {MAX_WAIT:?}", self.name);
    }

    pub(crate) fn proc_status_field(&self, name: &str) -> Option<String> {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).ok()?;
        let rest = status.lines().find_map(|line| line.strip_prefix(name))?;
        Some(rest.trim().to_owned())
    }

    /// Resident memory in bytes; 0 when it cannot be read.
    pub fn resident_bytes(&self) -> u64 {
        let field = self.proc_status_field("VmRSS:").unwrap_or_default();
        let kib = field.strip_suffix(" kB").and_then(|kib| kib.parse().ok());
        kib.map_or(0, |kib: u64| kib * 1024)
    }

    /// Highest resident memory since the start in bytes; 0 when it cannot be read.
    pub fn peak_resident_bytes(&self) -> u64 {
        let field = self.proc_status_field("VmHWM:").unwrap_or_default();
        let kib = field.strip_suffix(" kB").and_then(|kib| kib.parse().ok());
        kib.map_or(0, |kib: u64| kib * 1024)
    }

    /// Number of threads; 0 when it cannot be read.
    pub fn threads(&self) -> u64 {
        let field = self.proc_status_field("Threads:").unwrap_or_default();
        field.parse().unwrap_or(0)
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A node's HTTP response to a caller or an operator.
#[derive(Clone, Debug)]
pub struct TestResponse {
    /// HTTP status code.
    pub status: u16,
    /// Body as text; invalid UTF-8 is replaced.
    pub text: String,
    /// Body as JSON; null when it is not valid JSON.
    pub json: Value,
    /// Value of the Retry-After header, when present.
    pub retry_after: Option<String>,
}

impl TestResponse {
    pub(crate) fn from_response(response: &minreq::Response) -> Self {
        let text = String::from_utf8_lossy(response.as_bytes()).into_owned();
        Self {
            status: response.status_code,
            json: serde_json::from_str(&text).unwrap_or(Value::Null),
            retry_after: response.headers("retry-after").next().map(str::to_owned),
            text,
        }
    }

    /// The text of a completion; empty when there is none.
    pub fn completion_text(&self) -> &str {
        self.json["choices"][0]["text"].as_str().unwrap_or_default()
    }

    /// The verdict of a refusal, such as `not_run`; empty when there is none.
    pub fn verdict(&self) -> &str {
        self.json["error"]["verdict"].as_str().unwrap_or_default()
    }

    /// The reason code of a refusal; empty when there is none.
    pub fn reason(&self) -> &str {
        self.json["error"]["reason"].as_str().unwrap_or_default()
    }
}

/// Guards against a second kill, such as the one on drop, that hits another process which has got the id of the reaped
/// one: a run of CI lost a daemon of another test that way.
#[test]
fn reaped_process_is_not_signalled() {
    let log = Path::new(env!("CARGO_TARGET_TMPDIR")).join("reaped.log");
    let mut command = Command::new(env!("CARGO_BIN_EXE_jaysaddle"));
    command.arg("--help");
    let mut process = TestProcess::spawn("tool", command, log);
    assert_eq!(process.wait_exit(), Some(0));
    assert!(!process.signal(Signal::KILL));
}

/// Checks `condition` every `interval` until it holds. Returns whether it did within [`MAX_WAIT`].
pub fn wait_for(interval: Duration, condition: impl Fn() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < MAX_WAIT {
        if condition() {
            return true;
        }
        thread::sleep(interval);
    }
    false
}
