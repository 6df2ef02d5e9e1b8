//! Constructors of refused claim outcomes.

use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::verdict::ReasonCode;
use jaysaddle_types::verdict::RequestRefusal;
use jaysaddle_types::verdict::Verdict;

use crate::query::ClaimOutcome;

pub(crate) fn home_token_required() -> ClaimOutcome {
    ClaimOutcome::Refused(RequestRefusal::not_run(
        ReasonCode::HomeTokenRequired,
        "a non-idempotent request with a key needs the home token that discovery returned",
    ))
}

/// The key was used with another body. `known_not_run` is true if this body was certainly
/// not executed before.
pub(crate) fn conflict(known_not_run: bool) -> ClaimOutcome {
    let message = "the key was used with another body";
    ClaimOutcome::Refused(match known_not_run {
        true => RequestRefusal::not_run(ReasonCode::KeyConflict, message),
        false => RequestRefusal::may_have_run(ReasonCode::KeyConflict, message),
    })
}

pub(crate) fn home_unreachable() -> ClaimOutcome {
    ClaimOutcome::Refused(RequestRefusal::may_have_run(
        ReasonCode::HomeUnreachable,
        "the node that holds the key's claim is gone or did not answer",
    ))
}

pub(crate) fn expired() -> ClaimOutcome {
    ClaimOutcome::Refused(RequestRefusal::may_have_run(
        ReasonCode::KeyExpired,
        "the home token is older than what the ledger still covers",
    ))
}

pub(crate) fn still_running() -> ClaimOutcome {
    ClaimOutcome::Refused(RequestRefusal::may_have_run(
        ReasonCode::StillRunning,
        "the request with this key still runs; ask again with the same key for its answer",
    ))
}

/// The deadline passed while the home was being queried.
pub(crate) fn deadline_exceeded() -> ClaimOutcome {
    ClaimOutcome::Refused(RequestRefusal::may_have_run(
        ReasonCode::DeadlineExceeded,
        "the deadline passed before the key's home answered",
    ))
}

/// The request with this key ended without a response that can be replayed.
pub(crate) fn already_ended(verdict: Verdict) -> ClaimOutcome {
    let (verdict, message) = match verdict {
        Verdict::Ran => (Verdict::Ran, "the request ran; its answer is not kept"),
        _ => (Verdict::MayHaveRun, "a request with this key may have run"),
    };
    ClaimOutcome::Refused(RequestRefusal {
        verdict,
        ..RequestRefusal::not_run(ReasonCode::BackendFailed, message)
    })
}

/// All claims are in use. `known_not_run` is true if certainly no request with
/// this key was executed.
pub(crate) fn ledger_full(known_not_run: bool, retry_after: TimeSpan) -> ClaimOutcome {
    let message = "every claim of the ledger is in use";
    ClaimOutcome::Refused(match known_not_run {
        true => RequestRefusal::retry_after(ReasonCode::Overloaded, message, retry_after),
        false => RequestRefusal::may_have_run(ReasonCode::Overloaded, message),
    })
}
