//! What follows from the reports of several members: the chosen value, without a round, and the first value of a council
//! that has lost its memory.

use super::{MemberReport, MemberReports, Proposal, RegisterValue};

/// The chosen proposal, if the reports prove one: a majority, in the incarnations that count, accepted it last.
///
/// Whatever was chosen before the members were asked, at least one of a majority would have reported. Reading promises
/// nothing, so any number of readers can poll without superseding a round that changes something. `None`: the reports
/// don't prove it, and a round is needed.
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

/// The value with which a council begins anew when too few members remember to choose anything ever again.
///
/// `reports` has, by member, its incarnation and what it accepted last, if it has joined. `None`: a majority remembers,
/// or a member has not replied. `rebuild` receives the newest state that any member reports, which may be older than the
/// one that was chosen last: it has to return a state in which nothing begins before an operator has looked.
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
