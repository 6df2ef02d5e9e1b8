//! Handler of callers' requests.

use std::net::IpAddr;
use std::rc::Rc;

use http::Request;
use jaysaddle_types::units::TimeSpan;

use crate::caller_body::CallerBody;
use crate::caller_request::stated_time;
use crate::forward;
use crate::listener::HeadLimits;
use crate::listener::RequestHandler;
use crate::listener::ResponseFuture;
use crate::node::EntryNode;

/// Minimum size of the buffer for a request head, in bytes. It cannot grow while a connection is open, so it leaves room
/// for a configuration that raises the limit.
const MIN_HEAD_BUFFER: usize = 64 * 1024;

/// Serves callers' requests by forwarding them to backend servers.
pub struct CallerHandler {
    node: Rc<EntryNode>,
}

impl CallerHandler {
    pub fn new(node: Rc<EntryNode>) -> Self {
        Self { node }
    }
}

impl RequestHandler for CallerHandler {
    fn head_limits(&self) -> HeadLimits {
        let limits = self
            .node
            .config
            .borrow()
            .as_ref()
            .map(|config| config.limits)
            .unwrap_or_default();
        HeadLimits {
            // The library's timeout also covers the idle time before the headers, so it must not be shorter than the
            // time for which callers keep idle connections.
            read_time: limits.idle_time.as_duration() + limits.header_time.as_duration(),
            bytes: limits.header_bytes.max(MIN_HEAD_BUFFER),
        }
    }

    fn wait_limit(&self, request: &Request<CallerBody>) -> TimeSpan {
        let config = self.node.config.borrow();
        let routes = config.iter().flat_map(|config| &config.routes);
        let longest = routes.map(|route| route.timeout).max().unwrap_or_default();
        stated_time(request.headers())
            .unwrap_or_default()
            .min(longest)
    }

    fn connection_opened(&self) {
        let count = &self.node.caller_connections;
        count.set(count.get() + 1);
        self.node.shutdown.record_connection();
    }

    fn connection_closed(&self) {
        let count = &self.node.caller_connections;
        count.set(count.get() - 1);
    }

    fn serve(&self, request: Request<CallerBody>, _caller: IpAddr) -> ResponseFuture {
        Box::pin(forward::handle(self.node.clone(), request))
    }

    fn refuse(&self, request: Request<CallerBody>) -> ResponseFuture {
        Box::pin(forward::refuse(self.node.clone(), request))
    }
}
