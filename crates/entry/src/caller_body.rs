//! Body of a caller's request that tells whether it was read to its end.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;

/// Body of a caller's request.
pub struct CallerBody {
    body: Incoming,
    /// Set when the body has been read to its end. After that, the next bytes of the connection begin another request.
    is_read: Rc<Cell<bool>>,
}

impl CallerBody {
    /// Wraps a body, and tells in `is_read` whether it has been read to its end.
    pub fn new(body: Incoming, is_read: Rc<Cell<bool>>) -> Self {
        is_read.set(body.is_end_stream());
        Self { body, is_read }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        let frame = Pin::new(&mut this.body).poll_frame(context);
        if matches!(frame, Poll::Ready(None)) || this.body.is_end_stream() {
            this.is_read.set(true);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
