//! Decides which requests a node accepts while it stops, from the time until its process ends.

use jaysaddle_types::serving::RequestKind;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Number of times that an at-most-once request must usually fit into the time that is left.
const AT_MOST_ONCE_MARGIN: u64 = 2;

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSettings {
    /// Time for which callers may come with an address from the directory. Some cache a response for three times its
    /// lifetime.
    pub address_period: TimeSpan,
    /// Time by which the signal may have been sent earlier than the node knows. Lags of the event loop below 100 ms do not
    /// count as a pause.
    pub notice_margin: TimeSpan,
    /// Time after which idle connections are closed; some more than [`Self::address_period`], in which callers leave.
    pub connection_period: TimeSpan,
    /// Time before the platform kills the process at which it exits.
    pub kill_margin: TimeSpan,
    /// Time before the exit at which the last requests must have ended, so that their responses can be written.
    pub response_margin: TimeSpan,
    /// Time before the exit from which no connection and no request is accepted.
    pub closing_time: TimeSpan,
}

impl Default for ShutdownSettings {
    fn default() -> Self {
        Self {
            address_period: TimeSpan(3000),
            notice_margin: TimeSpan(100),
            connection_period: TimeSpan(3300),
            kill_margin: TimeSpan(400),
            response_margin: TimeSpan(150),
            closing_time: TimeSpan(500),
        }
    }
}

/// Schedule of a planned stop.
///
/// # Invariants
///
/// - `address_until <= withdrawn_until <= closing_from <= exit_by` and `request_deadline <= exit_by`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// Time until which requests are accepted that usually end in time. The platform excuses those cut at the end that were
    /// sent while callers may have held an address from before the signal, however late the node noticed it.
    pub address_until: Timestamp,
    /// Time until which idle connections are kept open.
    pub withdrawn_until: Timestamp,
    /// Time from which no connection and no request is accepted.
    pub closing_from: Timestamp,
    /// Time by which every request must have ended.
    pub request_deadline: Timestamp,
    /// Time by which the process exits.
    pub exit_by: Timestamp,
}

impl ShutdownPlan {
    /// Plans a stop that ends before the platform kills the process, `grace` after it has sent the signal at `signalled`.
    /// Callers learn of the stop from `noticed` on.
    pub fn new(
        settings: ShutdownSettings,
        signalled: Timestamp,
        noticed: Timestamp,
        grace: TimeSpan,
    ) -> Self {
        let available = TimeSpan(grace.0.saturating_sub(settings.kill_margin.0));
        let exit_by = noticed.max(signalled + available);
        let closing_from = noticed.max(exit_by - settings.closing_time);
        let request_deadline = noticed.max(exit_by - settings.response_margin);
        // The platform excuses only cuts in the last sixth of the grace period. If the signal may have been sent so much later
        // than at `signalled` that a cut at the deadline would come before, no request is accepted that may be cut.
        let last_sixth = noticed + TimeSpan(grace.0 * 5 / 6);
        let address_until = if noticed == signalled || request_deadline >= last_sixth {
            signalled + settings.address_period - settings.notice_margin
        } else {
            noticed
        };
        Self {
            address_until: closing_from.min(noticed.max(address_until)),
            withdrawn_until: closing_from.min(noticed + settings.connection_period),
            closing_from,
            request_deadline,
            exit_by,
        }
    }

    /// Whether a request of `kind` that arrives now is accepted. `time_limit` is the time after which it ends in any
    /// case, because its caller waits no longer or its route allows no more; `usual` the time within which requests of its
    /// route usually end.
    ///
    /// Recent service times are no bound for the next one. They count only until [`Self::address_until`]. An
    /// at-most-once request, which its caller cannot repeat after a cut, must usually be far shorter than the time that is
    /// left. All others are accepted only if they are sure to end.
    pub fn admits(
        &self,
        kind: RequestKind,
        time_limit: TimeSpan,
        usual: Option<TimeSpan>,
        now: Timestamp,
    ) -> bool {
        if now >= self.closing_from {
            return false;
        }
        let available = self.request_deadline.since(now);
        let is_usually_short = if kind.may_retry() {
            usual.is_none_or(|usual| usual <= available)
        } else {
            usual.is_some_and(|usual| usual.0.saturating_mul(AT_MOST_ONCE_MARGIN) <= available.0)
        };
        time_limit <= available || (now < self.address_until && is_usually_short)
    }
}
