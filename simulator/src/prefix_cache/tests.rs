use super::*;
use proptest::prelude::*;

#[test]
fn evicts_the_least_recently_used_entry_first_and_from_its_end() {
    let mut cache = PrefixCache::new(16);
    assert_eq!(
        (cache.insert(1, 100), cache.insert(2, 64), cache.insert(3, 15)),
        (96, 64, 0),
        "whole blocks only"
    );
    assert_eq!(cache.insert(1, 50), 0, "the entry is long enough already and becomes the most recently used");
    assert_eq!(cache.evict(10), 16);
    assert_eq!((cache.tokens(1), cache.tokens(2), cache.total_tokens()), (96, 48, 144));
    cache.pin(2);
    assert_eq!(cache.evict(1_000), 96, "a pinned entry is not evicted");
    cache.unpin(2);
    assert_eq!((cache.evict(1_000), cache.total_tokens()), (48, 0));
}

proptest! {
    /// Compares the cache with a simple list ordered by last use.
    #[test]
    fn behaves_like_a_list_ordered_by_last_use(steps in proptest::collection::vec((0u8..4, 0u64..6, 0u32..200), 0..200)) {
        let (mut cache, mut model) = (PrefixCache::new(16), Vec::<(u64, u32, u32)>::new());
        for (action, key, tokens) in steps {
            let position = model.iter().position(|r| r.0 == key);
            match action {
                0 => {
                    let whole_blocks = tokens / 16 * 16;
                    let before = position.map_or(0, |i| model[i].1);
                    prop_assert_eq!(cache.insert(key, tokens), whole_blocks.saturating_sub(before));
                    if whole_blocks > 0 {
                        let (_, before, pins) = position.map_or((key, 0, 0), |i| model.remove(i));
                        model.push((key, before.max(whole_blocks), pins));
                    }
                }
                1 => {
                    cache.pin(key);
                    if let Some(i) = position {
                        let r = model.remove(i);
                        model.push((r.0, r.1, r.2 + 1));
                    }
                }
                2 => {
                    cache.unpin(key);
                    if let Some(i) = position {
                        model[i].2 = model[i].2.saturating_sub(1);
                    }
                }
                _ => {
                    let mut evicted = 0;
                    for r in model.iter_mut().filter(|r| r.2 == 0) {
                        let removed = (tokens.saturating_sub(evicted)).div_ceil(16) * 16;
                        let removed = removed.min(r.1);
                        r.1 -= removed;
                        evicted += removed;
                    }
                    model.retain(|r| r.1 > 0);
                    prop_assert_eq!(cache.evict(u64::from(tokens)), u64::from(evicted));
                }
            }
            prop_assert_eq!(cache.total_tokens(), model.iter().map(|r| u64::from(r.1)).sum::<u64>());
            for r in &model {
                prop_assert_eq!(cache.tokens(r.0), r.1);
            }
            prop_assert_eq!(cache.index.len(), model.len(), "no entry without tokens remains");
        }
    }
}
