use std::rc::Rc;

use tokio::task::{yield_now, LocalSet};

use super::*;

#[tokio::test(flavor = "current_thread")]
async fn an_aborted_group_drops_what_its_tasks_own() {
    let in_set = LocalSet::new();
    in_set
        .run_until(async {
            let (group, owned) = (Rc::new(TaskGroup::default()), Rc::new(()));
            // The task owns the group that owns the task, as those of an agent do.
            let (of_task, of_group) = (owned.clone(), group.clone());
            group.spawn(async move {
                let _held = (of_task, of_group);
                std::future::pending::<()>().await;
            });
            yield_now().await;
            assert_eq!(Rc::strong_count(&owned), 2);
            group.abort_all();
            while Rc::strong_count(&owned) > 1 {
                yield_now().await;
            }
        })
        .await;
}
