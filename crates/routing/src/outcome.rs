//! Builds routing results and their decision records.

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_types::decision::DecisionKind;
use jaysaddle_types::decision::DecisionRecord;
use jaysaddle_types::request::RequestTarget;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::verdict::ReasonCode;
use jaysaddle_types::verdict::RequestRefusal;
use jaysaddle_types::view::GroupView;
use jaysaddle_types::view::ServiceView;

use crate::index::member_ids;
use crate::policy::PolicyPick;
use crate::query::RouteChoice;
use crate::query::RouteFailure;
use crate::query::RouteQuery;
use crate::query::RouteTarget;

/// Retry delay returned to the caller when no backend can serve the target; a repair with idle
/// VMs starts within this time.
const REPAIR_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(2);

/// Builds a failure; `details` lists the rejected groups or servers with their reasons.
pub(crate) fn route_failure(
    query: &RouteQuery,
    reason: ReasonCode,
    details: Vec<(CompactString, CompactString)>,
) -> RouteFailure {
    let target = target_name(&query.target);
    let message = match reason {
        ReasonCode::NotConfigured => "this node has no configuration yet".into(),
        ReasonCode::UnknownModel | ReasonCode::UnknownService => {
            format_compact!("{target} does not exist or is not open to this account")
        }
        _ => format_compact!(
            "none of {} backends of {target} can take a request",
            details.len()
        ),
    };
    let refusal = match reason {
        ReasonCode::UnknownModel | ReasonCode::UnknownService => {
            RequestRefusal::not_run(reason, message.clone())
        }
        _ => RequestRefusal::retry_after(reason, message.clone(), REPAIR_RETRY_AFTER),
    };
    RouteFailure {
        refusal,
        decision: DecisionRecord {
            kind: DecisionKind::Route,
            subject: query.request.as_str().into(),
            inputs: format_compact!(
                "account={} target={target} excluded={}",
                query.account,
                details.len()
            ),
            choice: reason.as_str().into(),
            reason: message,
        },
        details,
    }
}

/// Builds the choice of `group`.
///
/// `report` is the age of the group's load report and whether a new report is needed from the
/// leader before the request is sent.
pub(crate) fn group_choice(
    query: &RouteQuery,
    group: &GroupView,
    pick: &PolicyPick,
    mean_load: f64,
    candidates: usize,
    report: (Option<TimeSpan>, bool),
) -> RouteChoice {
    let (age, needs_report) = report;
    let age = match age {
        Some(age) => format_compact!("{}", age.as_millis()),
        None => "none".into(),
    };
    RouteChoice {
        target: RouteTarget::Group {
            group: group.id.clone(),
            generation: group.generation,
            members: member_ids(group),
        },
        address: group.leader,
        needs_report,
        decision: DecisionRecord {
            kind: DecisionKind::Route,
            subject: query.request.as_str().into(),
            inputs: format_compact!(
                "account={} model={} candidates={candidates} load={:.2} mean_load={mean_load:.2} \
                 matched_blocks={} blocks={} report_age_ms={age} needs_report={needs_report}",
                query.account,
                group.model,
                pick.candidate.load,
                pick.matched_blocks,
                query.prefix.len(),
            ),
            choice: format_compact!("{}@{}", group.id, group.generation),
            reason: pick.reason.into(),
        },
    }
}

/// Builds the choice of a backend server of a plain service.
pub(crate) fn server_choice(
    query: &RouteQuery,
    server: &ServiceView,
    in_flight: u32,
    candidates: usize,
) -> RouteChoice {
    RouteChoice {
        target: RouteTarget::Server {
            vm: server.vm.clone(),
        },
        address: server.address,
        needs_report: false,
        decision: DecisionRecord {
            kind: DecisionKind::Route,
            subject: query.request.as_str().into(),
            inputs: format_compact!(
                "account={} service={} candidates={candidates} in_flight={in_flight}",
                query.account,
                server.name
            ),
            choice: server.vm.as_str().into(),
            reason: "least requests in flight".into(),
        },
    }
}

fn target_name(target: &RequestTarget) -> CompactString {
    match target {
        RequestTarget::Model(model) => format_compact!("model {model}"),
        RequestTarget::Service(service) => format_compact!("service {service}"),
    }
}
