//! Timeouts that do not count a pause of this process as the silence of others.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

use jaysaddle_daemon::clock;
use jaysaddle_gateway::silence::DataWait;
use jaysaddle_types::units::TimeSpan;
use tokio::task::yield_now;
use tokio::time::timeout;

use crate::loop_lag::CATCH_UP_TIME;

/// Turns of the event loop in which what has arrived is read when a time is up. A response passes through the task of its
/// connection, and more than one data frame takes more than one turn.
const READ_TURNS: u32 = 16;

/// Completes with the output of `future`, or with `None` after `limit`. If this process was paused at that time, what `future` waits for
/// may have arrived meanwhile, so it gets some time to be read. A pause that ends soon after the limit does not show in the time that the
/// wait took.
pub async fn timeout_awake<F: Future>(limit: TimeSpan, future: F) -> Option<F::Output> {
    tokio::pin!(future);
    let mut planned = limit;
    loop {
        let began = clock::now();
        if let Ok(output) = timeout(planned.as_duration(), &mut future).await {
            return Some(output);
        }
        if let Some(output) = read_arrived(future.as_mut()).await {
            return Some(output);
        }
        let wait = DataWait {
            planned,
            actual: clock::now().since(began),
        };
        if !wait.was_interrupted() {
            return None;
        }
        planned = CATCH_UP_TIME;
    }
}

/// Polls `future` for a few turns of the event loop, without waiting for anything that has not arrived.
async fn read_arrived<F: Future>(mut future: Pin<&mut F>) -> Option<F::Output> {
    for _ in 0..READ_TURNS {
        yield_now().await;
        if let Poll::Ready(output) = poll_fn(|cx| Poll::Ready(future.as_mut().poll(cx))).await {
            return Some(output);
        }
    }
    None
}
