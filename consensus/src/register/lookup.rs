//! Evaluates the reports of several members: finds the chosen value without a round, and creates the first value of a
//! council that has lost its memory.

use super::{MemberReport, MemberReports, Proposal, RegisterValue};

/// Returns the chosen proposal, if the reports prove it: a majority, in the incarnations that count, accepted it last.
///
/// At least one member of any majority reports a value that was chosen before the request. Reading makes no promises, so
/// any number of readers can poll without superseding a round in progress. Returns `None` if the reports prove no proposal;
/// then a round is needed.
pub fn chosen_value<D: Clone>(reports: &MemberReports<D>) -> Option<Proposal<D>> {
    let accepted = reports.iter().flatten().filter_map(|report| report.accepted.as_ref());
    accepted.clone().find(|proposal| is_chosen(proposal, reports)).cloned()
}

fn is_chosen<D>(proposal: &Proposal<D>, reports: &MemberReports<D>) -> bool {
    let agrees = |(member, report): &(usize, &Option<MemberReport<D>>)| {
        report.as_ref().is_some_and(|report| {
            proposal.value.incarnations.get(*member) == Some(&report.incarnation)
                && report.accepted.as_ref().is_some_and(|accepted| accepted.ballot == proposal.ballot)
        })
    };
    reports.iter().enumerate().filter(agrees).count() * 2 > reports.len()
}

/// Returns the first value of a council that starts again because too few members remember the register.
///
/// `reports` has, by member, its incarnation and the proposal that it accepted last, if it has joined. Returns `None` if a
/// majority remembers, or if a member has not replied. `rebuild` receives the newest state that any member reports, which
/// may be older than the last chosen one: it must return a state in which nothing begins before an operator resumes.
pub fn bootstrap_value<D: Clone>(
    reports: &MemberReports<D>,
    rebuild: impl FnOnce(Option<&D>) -> D,
) -> Option<RegisterValue<D>> {
    let reports = reports.iter().map(Option::as_ref).collect::<Option<Vec<&MemberReport<D>>>>()?;
    let accepted = reports.iter().filter_map(|report| report.accepted.as_ref());
    let newest = accepted.max_by_key(|proposal| proposal.ballot);
    if newest.is_some_and(|newest| majority_remembers(newest, &reports)) {
        return None;
    }
    let incarnations = reports.iter().map(|report| report.incarnation).collect();
    Some(RegisterValue { incarnations, state: rebuild(newest.map(|newest| &newest.value.state)) })
}

fn majority_remembers<D>(newest: &Proposal<D>, reports: &[&MemberReport<D>]) -> bool {
    let members = reports.iter().zip(&newest.value.incarnations);
    let remembers = members
        .filter(|(report, incarnation)| report.incarnation == **incarnation && report.accepted.is_some());
    remembers.count() * 2 > reports.len()
}
