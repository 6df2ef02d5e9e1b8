//! Platform stand-in: versioned objects with watches, and a list of VMs.

pub mod fault;
pub mod routes;
pub mod store;

pub use fault::OutageMode;
pub use fault::PlatformFault;
pub use store::PlatformStats;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use jaysaddle_types::units::RequestRate;
use jaysaddle_types::units::TimeSpan;

use crate::http::RouteHandler;
use crate::http::StandinListener;
use crate::platform::routes::PlatformRoutes;

/// Settings of the platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address to listen on. Default: a free port on loopback.
    pub listen: SocketAddr,
    /// Lag of the list of VMs behind `POST /control/vms`. Default: 2 s. Zero hides faults that
    /// the lag causes.
    pub list_lag: TimeSpan,
    /// Maximum number of reads, watches and lists per second; further ones are refused with status
    /// 429. Default: 2000/s.
    pub read_budget: RequestRate,
    /// Maximum number of writes per second; further ones are refused with status 429. Default:
    /// 500/s.
    pub write_budget: RequestRate,
    /// Number of threads that answer calls; a waiting watch occupies none. Default: 16. It also
    /// limits the number of calls that a `delay_ms` fault delays at a time.
    pub workers: usize,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            list_lag: TimeSpan::from_secs(2),
            read_budget: RequestRate(2000),
            write_budget: RequestRate(500),
            workers: 16,
        }
    }
}

/// A running platform stand-in; dropping it closes the listener.
pub struct PlatformStandin {
    listener: StandinListener,
}

impl PlatformStandin {
    /// Binds the listener and starts the worker threads.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or a thread cannot be started.
    pub fn start(settings: &PlatformSettings) -> eyre::Result<Self> {
        let listener = StandinListener::bind(settings.listen)?;
        let routes = PlatformRoutes::start(settings)?;
        let handler: Arc<dyn RouteHandler> = routes;
        listener.serve(settings.workers, &handler)?;
        Ok(Self { listener })
    }

    /// Address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        self.listener.close();
    }
}
