//! Refusals of claims.

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

/// The key was used with another body; `proven` when this body is known not to have run.
pub(crate) fn conflict(proven: bool) -> ClaimOutcome {
    let message = "the key was used with another body";
    ClaimOutcome::Refused(match proven {
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

/// The deadline passed while the home was asked.
pub(crate) fn deadline() -> ClaimOutcome {
    ClaimOutcome::Refused(RequestRefusal::may_have_run(
        ReasonCode::DeadlineExceeded,
        "the deadline passed before the key's home answered",
    ))
}

/// The request with this key ended without an answer that can be repeated.
pub(crate) fn ended(verdict: Verdict) -> ClaimOutcome {
    let (verdict, message) = match verdict {
        Verdict::Ran => (Verdict::Ran, "the request ran; its answer is not kept"),
        _ => (Verdict::MayHaveRun, "a request with this key may have run"),
    };
    ClaimOutcome::Refused(RequestRefusal {
        verdict,
        ..RequestRefusal::not_run(ReasonCode::BackendFailed, message)
    })
}

/// All claims are in use; `proven` when the request is known not to have run.
pub(crate) fn full(proven: bool, retry: TimeSpan) -> ClaimOutcome {
    let message = "every claim of the ledger is in use";
    ClaimOutcome::Refused(match proven {
        true => RequestRefusal::retry_after(ReasonCode::Overloaded, message, retry),
        false => RequestRefusal::may_have_run(ReasonCode::Overloaded, message),
    })
}
