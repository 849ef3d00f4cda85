use super::*;
use crate::plans;

#[test]
fn student_t_quantiles_match_published_tables() {
    for (degrees, table) in [(1, 12.706), (3, 3.182), (4, 2.776), (9, 2.262), (19, 2.093), (120, 1.980)] {
        assert!(
            (student_t_quantile(degrees) - table).abs() < 0.01,
            "{degrees}: {}",
            student_t_quantile(degrees)
        );
    }
}

#[test]
fn a_mean_has_its_confidence_interval() {
    let m = Mean::of(&[1.0, 2.0, 3.0, 4.0, 5.0]);
    // The half-width is the standard error 0.7071 times the quantile 2.776.
    assert!((m.mean - 3.0).abs() < 1e-12 && (m.half_width - 1.963).abs() < 0.01, "{m:?}");
    assert!(Mean::of(&[2.0]).half_width.is_infinite());
    assert_eq!(Mean::of(&[]).mean, 0.0);
}

#[test]
fn results_do_not_depend_on_the_thread_count_and_are_paired_by_seed() {
    let plan = plans::fleet_with_faults(1, 6, 2, 0.6, 8);
    let names = ["tallypin", "random"];
    let one_thread = run_all(&plan, &names, &[1, 2, 3], 1, |_| {});
    let four_threads = run_all(&plan, &names, &[1, 2, 3], 4, |_| {});
    assert_eq!(one_thread, four_threads);
    assert_eq!(one_thread.len(), 6);
    assert!(one_thread
        .chunks(2)
        .all(|r| r[0].seed == r[1].seed && r[0].figures.requests == r[1].figures.requests));
    let summary = summarize(&one_thread, 2);
    assert_eq!((summary[0].1.mean, summary[0].1.half_width), (0.0, 0.0));
    assert!(((summary[1].0.mean - summary[0].0.mean) - summary[1].1.mean).abs() < 1e-12);
}
