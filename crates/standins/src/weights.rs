//! Weight store stand-in: loads with limited concurrency and rate.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use jaysaddle_types::units::RequestRate;
use jaysaddle_types::units::TimeSpan;
use serde::Deserialize;
use serde::Serialize;
use tiny_http::Method;
use tiny_http::Request;

use crate::http::RouteHandler;
use crate::http::StandinListener;
use crate::http::respond_json;
use crate::http::respond_text;
use crate::http::spawn_thread;
use crate::http::split_url;

/// Number of threads that accept requests. Each load is served on a thread of its own.
const WORKERS: usize = 2;

/// Settings of the weight store stand-in.
#[derive(Clone, Debug)]
pub struct WeightSettings {
    /// Address to listen on. Default: a free port on loopback.
    pub listen: SocketAddr,
    /// Duration of one load. Default: 200 ms.
    pub load_time: TimeSpan,
    /// Maximum number of concurrent loads. Default: 8. Zero counts as one.
    pub concurrent_loads: u32,
    /// Maximum number of loads started per second. Default: 20/s. Zero counts as 1/s.
    pub load_rate: RequestRate,
    /// Maximum number of queued loads; further ones are refused with status 429. Default: 64. With
    /// zero, every load that cannot start immediately is refused.
    pub queue_limit: u32,
}

impl Default for WeightSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            load_time: TimeSpan::from_millis(200),
            concurrent_loads: 8,
            load_rate: RequestRate(20),
            queue_limit: 64,
        }
    }
}

/// Counters of the weight store, as returned by `GET /control/stats`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightStats {
    /// Number of finished loads.
    pub loads: u64,
    /// Loads refused with status 429.
    pub refused: u64,
    /// Highest number of concurrent loads so far.
    pub most_running: u32,
}

#[derive(Default)]
struct LoadQueue {
    running: u32,
    waiting: u32,
    /// Ticket of the next load to be queued. Loads start in ticket order.
    next_ticket: u64,
    /// Ticket of the next load to start.
    next_start: u64,
    /// Time before which no load may start because of the rate limit.
    not_before: Option<Instant>,
    stats: WeightStats,
}

struct WeightRoutes {
    settings: WeightSettings,
    queue: Mutex<LoadQueue>,
    changed: Condvar,
}

impl WeightRoutes {
    fn lock(&self) -> MutexGuard<'_, LoadQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn max_concurrent(&self) -> u32 {
        self.settings.concurrent_loads.max(1)
    }

    /// Queues a load and returns its ticket; `None` if the queue is full.
    fn enqueue(&self) -> Option<u64> {
        let mut queue = self.lock();
        let free = self.max_concurrent().saturating_sub(queue.running);
        if queue.waiting >= free.saturating_add(self.settings.queue_limit) {
            queue.stats.refused += 1;
            return None;
        }
        queue.waiting += 1;
        queue.next_ticket += 1;
        Some(queue.next_ticket - 1)
    }

    /// Waits until the load of `ticket` may start and executes it.
    fn load(&self, ticket: u64) {
        let interval = Duration::from_secs(1)
            / u32::try_from(self.settings.load_rate.0.max(1)).unwrap_or(u32::MAX);
        let mut queue = self.lock();
        loop {
            let now = Instant::now();
            let delay = queue
                .not_before
                .map_or(Duration::ZERO, |not_before| not_before.duration_since(now));
            let is_next = queue.next_start == ticket && queue.running < self.max_concurrent();
            if is_next && delay.is_zero() {
                queue.not_before = Some(now + interval);
                break;
            }
            let limit = if is_next {
                delay
            } else {
                Duration::from_secs(1)
            };
            queue = self
                .changed
                .wait_timeout(queue, limit)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        queue.next_start += 1;
        queue.waiting -= 1;
        queue.running += 1;
        queue.stats.most_running = queue.stats.most_running.max(queue.running);
        drop(queue);
        self.changed.notify_all();
        thread::sleep(self.settings.load_time.as_duration());
        let mut queue = self.lock();
        queue.running -= 1;
        queue.stats.loads += 1;
        drop(queue);
        self.changed.notify_all();
    }
}

/// Request handler of the store. Each load holds its own reference to the routes.
struct WeightHandler(Arc<WeightRoutes>);

impl WeightHandler {
    fn start_load(&self, request: Request) {
        let Some(ticket) = self.0.enqueue() else {
            return respond_text(request, 429, "the load queue is full");
        };
        let routes = Arc::clone(&self.0);
        // If the thread cannot be started, the load is executed on this thread: a ticket that is
        // never used would block the queue.
        let spawned = spawn_thread("weight-load", move || {
            routes.load(ticket);
            respond_text(request, 200, "");
        });
        if let Err(error) = spawned {
            log::error!("loading weights on a worker thread instead of a new one: {error:#}");
            self.0.load(ticket);
        }
    }
}

impl RouteHandler for WeightHandler {
    fn handle(&self, request: Request) {
        let url = CompactString::from(request.url());
        let (path, _) = split_url(&url);
        let is_load = path
            .strip_prefix("/weights/")
            .and_then(|rest| rest.split_once('/'))
            .is_some_and(|(model, version)| !model.is_empty() && !version.is_empty());
        match (request.method(), path) {
            (Method::Post, _) if is_load => self.start_load(request),
            (Method::Get, "/control/stats") => {
                let stats = self.0.lock().stats;
                respond_json(request, 200, &stats);
            }
            _ => respond_text(request, 404, "no such route"),
        }
    }
}

/// A running weight store stand-in; dropping it closes the listener.
pub struct WeightStandin {
    listener: StandinListener,
}

impl WeightStandin {
    /// Binds the listener and starts the worker threads.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or a thread cannot be started.
    pub fn start(settings: WeightSettings) -> eyre::Result<Self> {
        let listener = StandinListener::bind(settings.listen)?;
        let handler: Arc<dyn RouteHandler> = Arc::new(WeightHandler(Arc::new(WeightRoutes {
            settings,
            queue: Mutex::new(LoadQueue::default()),
            changed: Condvar::new(),
        })));
        listener.serve(WORKERS, &handler)?;
        Ok(Self { listener })
    }

    /// Address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }
}

impl Drop for WeightStandin {
    fn drop(&mut self) {
        self.listener.close();
    }
}
