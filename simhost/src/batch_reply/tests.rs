use std::time::{Duration, Instant};

use super::*;

/// Maximum time for one reply, by the simulator's protocol.
const REPLY_TIME_LIMIT: Duration = Duration::from_secs(20);

fn sent(reply: &mut BatchReply) -> String {
    let mut output = Vec::new();
    reply.send(&mut output).unwrap();
    String::from_utf8(output).unwrap()
}

fn append(reply: &mut BatchReply, router: RouterNumber, lines: &str) {
    reply.append(router, |text| text.push_str(lines));
}

#[test]
fn lines_of_a_router_are_withdrawn_up_to_its_latest_kill_and_the_others_keep_their_order() {
    let mut reply = BatchReply::default();
    append(&mut reply, 1, "a\n");
    append(&mut reply, 2, "b\n");
    append(&mut reply, 1, "c\n");
    reply.withdraw(1);
    append(&mut reply, 1, "d\n");
    append(&mut reply, 3, "e\nf\n");
    reply.withdraw(1);
    append(&mut reply, 1, "g\n");
    append(&mut reply, 2, "h\n");
    assert_eq!(sent(&mut reply), "b\ne\nf\ng\nh\nEND\n");
}

#[test]
fn a_kill_withdraws_nothing_of_the_next_batch() {
    let mut reply = BatchReply::default();
    append(&mut reply, 1, "a long line of the first batch\n");
    reply.withdraw(1);
    assert_eq!(sent(&mut reply), "END\n");
    append(&mut reply, 1, "b\n");
    assert_eq!(sent(&mut reply), "b\nEND\n");
    assert_eq!(sent(&mut reply), "END\n");
}

/// Guards against a cost that grows with the number of kills times the length of the reply: here 10^10 lines would be visited.
#[test]
fn the_cost_of_a_reply_with_many_kills_is_linear() {
    const KILLS: u32 = 100_000;
    let started = Instant::now();
    let mut reply = BatchReply::default();
    for router in 0..KILLS {
        append(&mut reply, router, "WAKE_AT Who=gateway-0 DueAtNs=8912250000 KeyBack=1\n");
    }
    for router in 0..KILLS {
        reply.withdraw(router);
        append(&mut reply, router, "x\n");
    }
    assert_eq!(sent(&mut reply).len(), 2 * KILLS as usize + END_LINE.len());
    assert!(started.elapsed() < REPLY_TIME_LIMIT, "{:?}", started.elapsed());
}
