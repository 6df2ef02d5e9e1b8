//! Timeouts that do not count a pause of this process as the silence of others.

use jaysaddle_daemon::clock;
use jaysaddle_gateway::silence::DataWait;
use jaysaddle_types::units::TimeSpan;
use tokio::time::timeout;

use crate::loop_lag::CATCH_UP_TIME;

/// Completes with the output of `future`, or with `None` after `limit`. If this process was paused at that time, what `future` waits for
/// may have arrived meanwhile, so it gets some time to be read.
pub async fn timeout_awake<F: Future>(limit: TimeSpan, future: F) -> Option<F::Output> {
    tokio::pin!(future);
    let mut planned = limit;
    loop {
        let began = clock::now();
        if let Ok(output) = timeout(planned.as_duration(), &mut future).await {
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
