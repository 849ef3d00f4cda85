use super::*;
use proptest::prelude::*;

#[test]
fn the_least_recently_used_goes_first_and_from_its_end() {
    let mut kept = Kept::new(16);
    assert_eq!((kept.keep(1, 100), kept.keep(2, 64), kept.keep(3, 15)), (96, 64, 0), "whole blocks only");
    assert_eq!(kept.keep(1, 50), 0, "as long already, and used");
    assert_eq!(kept.give_up(10), 16);
    assert_eq!((kept.tokens(1), kept.tokens(2), kept.total()), (96, 48, 144));
    kept.pin(2);
    assert_eq!(kept.give_up(1_000), 96, "what a request runs on stays");
    kept.unpin(2);
    assert_eq!((kept.give_up(1_000), kept.total()), (48, 0));
}

proptest! {
    /// Against the plain way: a list by use.
    #[test]
    fn it_is_a_list_by_use(steps in proptest::collection::vec((0u8..4, 0u64..6, 0u32..200), 0..200)) {
        let (mut kept, mut list) = (Kept::new(16), Vec::<(u64, u32, u32)>::new());
        for (what, key, tokens) in steps {
            let at = list.iter().position(|r| r.0 == key);
            match what {
                0 => {
                    let whole = tokens / 16 * 16;
                    let had = at.map_or(0, |i| list[i].1);
                    prop_assert_eq!(kept.keep(key, tokens), whole.saturating_sub(had));
                    if whole > 0 {
                        let (_, had, pins) = at.map_or((key, 0, 0), |i| list.remove(i));
                        list.push((key, had.max(whole), pins));
                    }
                }
                1 => {
                    kept.pin(key);
                    if let Some(i) = at {
                        let r = list.remove(i);
                        list.push((r.0, r.1, r.2 + 1));
                    }
                }
                2 => {
                    kept.unpin(key);
                    if let Some(i) = at {
                        list[i].2 = list[i].2.saturating_sub(1);
                    }
                }
                _ => {
                    let mut given = 0;
                    for r in list.iter_mut().filter(|r| r.2 == 0) {
                        let some = (tokens.saturating_sub(given)).div_ceil(16) * 16;
                        let some = some.min(r.1);
                        r.1 -= some;
                        given += some;
                    }
                    list.retain(|r| r.1 > 0);
                    prop_assert_eq!(kept.give_up(u64::from(tokens)), u64::from(given));
                }
            }
            prop_assert_eq!(kept.total(), list.iter().map(|r| u64::from(r.1)).sum::<u64>());
            for r in &list {
                prop_assert_eq!(kept.tokens(r.0), r.1);
            }
            prop_assert_eq!(kept.index.len(), list.len(), "no run without tokens is left");
        }
    }
}
