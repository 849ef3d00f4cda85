use std::rc::Rc;

use tokio::task::{yield_now, LocalSet};

use super::*;

#[tokio::test(flavor = "current_thread")]
async fn an_aborted_group_drops_what_its_tasks_own() {
    let local_set = LocalSet::new();
    local_set
        .run_until(async {
            let (group, owned) = (Rc::new(TaskGroup::default()), Rc::new(()));
            // The task owns the group that owns the task: the same reference cycle as in an agent.
            let (task_value, task_group) = (owned.clone(), group.clone());
            group.spawn(async move {
                let _owned_by_task = (task_value, task_group);
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
