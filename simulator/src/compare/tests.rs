use super::*;
use crate::plans;

#[test]
fn quantiles_are_those_of_the_tables() {
    for (degrees, table) in [(1, 12.706), (3, 3.182), (4, 2.776), (9, 2.262), (19, 2.093), (120, 1.980)] {
        assert!((student(degrees) - table).abs() < 0.01, "{degrees}: {}", student(degrees));
    }
}

#[test]
fn a_mean_tells_how_sure_it_is() {
    let m = Mean::of(&[1.0, 2.0, 3.0, 4.0, 5.0]);
    // Standard error 0.7071 times 2.776.
    assert!((m.mean - 3.0).abs() < 1e-12 && (m.half - 1.963).abs() < 0.01, "{m:?}");
    assert!(Mean::of(&[2.0]).half.is_infinite());
    assert_eq!(Mean::of(&[]).mean, 0.0);
}

#[test]
fn threads_change_nothing_and_pairs_are_of_the_same_day() {
    let plan = plans::rough(1, 6, 2, 0.6, 8);
    let names = ["tallypin", "random"];
    let one = play(&plan, &names, &[1, 2, 3], 1, |_| {});
    let four = play(&plan, &names, &[1, 2, 3], 4, |_| {});
    assert_eq!(one, four);
    assert_eq!(one.len(), 6);
    assert!(one.chunks(2).all(|d| d[0].seed == d[1].seed && d[0].figures.came == d[1].figures.came));
    let lines = table(&one, 2);
    assert_eq!((lines[0].1.mean, lines[0].1.half), (0.0, 0.0));
    assert!(((lines[1].0.mean - lines[0].0.mean) - lines[1].1.mean).abs() < 1e-12);
}
