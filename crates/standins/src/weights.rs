//! The weight store: loads take time and are limited in concurrency and rate.

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
use crate::http::spawn_small;

/// Settings of the weight store.
#[derive(Clone, Debug)]
pub struct WeightSettings {
    /// Address to listen on. Default: a free port on loopback.
    pub listen: SocketAddr,
    /// Time of one load once it has started. Default: 500 ms.
    pub load_time: TimeSpan,
    /// Loads that run at once; further ones wait. Default: 4. Zero starts none.
    pub concurrency: u32,
    /// Loads started a second; further ones wait. Default: 10/s. Zero means no limit.
    pub rate: RequestRate,
}

impl Default for WeightSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            load_time: TimeSpan::from_millis(500),
            concurrency: 4,
            rate: RequestRate(10),
        }
    }
}

/// Counts of the weight store, as answered by `GET /control/stats`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightStats {
    /// Loads finished.
    pub loads: u64,
    /// Loads that run now.
    pub running: u32,
    /// Highest number of loads that ran at once.
    pub peak: u32,
}

struct WeightState {
    stats: WeightStats,
    next_start: Instant,
}

struct WeightRoutes {
    settings: WeightSettings,
    state: Mutex<WeightState>,
    freed: Condvar,
}

impl WeightRoutes {
    fn lock(&self) -> MutexGuard<'_, WeightState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a slot; gives the time until the rate allows the start.
    fn take_slot(&self) -> Duration {
        let mut state = self
            .freed
            .wait_while(self.lock(), |state| {
                state.stats.running >= self.settings.concurrency
            })
            .unwrap_or_else(PoisonError::into_inner);
        state.stats.running += 1;
        state.stats.peak = state.stats.peak.max(state.stats.running);
        let now = Instant::now();
        let start = state.next_start.max(now);
        let spacing = Duration::from_secs(1)
            .checked_div(u32::try_from(self.settings.rate.0).unwrap_or(u32::MAX));
        state.next_start = start + spacing.unwrap_or_default();
        start.duration_since(now)
    }

    fn load(&self, request: Request) {
        thread::sleep(self.take_slot());
        thread::sleep(self.settings.load_time.as_duration());
        let mut state = self.lock();
        state.stats.running -= 1;
        state.stats.loads += 1;
        drop(state);
        self.freed.notify_one();
        respond_text(request, 200, "");
    }
}

struct WeightHandler(Arc<WeightRoutes>);

impl RouteHandler for WeightHandler {
    fn handle(&self, request: Request) {
        let url = CompactString::from(request.url());
        match request.method() {
            Method::Post if url.starts_with("/weights/") => {
                let routes = Arc::clone(&self.0);
                let spawned = spawn_small("weights-load", move || routes.load(request));
                if let Err(error) = spawned {
                    log::error!("the weight store dropped a load: {error:#}");
                }
            }
            Method::Get if url == "/control/stats" => {
                let stats = self.0.lock().stats;
                respond_json(request, 200, &stats);
            }
            _ => respond_text(request, 404, "no such route"),
        }
    }
}

/// A running weight store; dropping it closes the listener.
pub struct WeightStandin {
    listener: StandinListener,
}

impl WeightStandin {
    /// Starts the weight store.
    ///
    /// # Errors
    ///
    /// Fails when the address is not free or no thread can be started.
    pub fn start(settings: &WeightSettings) -> eyre::Result<Self> {
        let listener = StandinListener::bind(settings.listen)?;
        let routes = Arc::new(WeightRoutes {
            settings: settings.clone(),
            state: Mutex::new(WeightState {
                stats: WeightStats::default(),
                next_start: Instant::now(),
            }),
            freed: Condvar::new(),
        });
        let handler: Arc<dyn RouteHandler> = Arc::new(WeightHandler(routes));
        listener.serve(1, &handler)?;
        Ok(Self { listener })
    }

    /// The address in use.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }
}

impl Drop for WeightStandin {
    fn drop(&mut self) {
        self.listener.close();
    }
}
