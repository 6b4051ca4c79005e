//! Failures of the request path at one entry, and which mechanism prevents each.

mod entry_support;

use entry_support::scenarios as s;
use googletest::prelude::*;
use hickorycross_core::entry::Mechanisms;

struct Case {
    name: &'static str,
    run: fn(Mechanisms) -> std::result::Result<(), String>,
}

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        [$(Case { name: stringify!($name), run: s::$name }),*]
    };
}

const CASES: [Case; 20] = cases![
    unacknowledged_submission_is_revoked_and_tried_again,
    running_attempt_is_attached_after_revocation,
    silent_stream_is_attached_from_the_next_piece,
    restart_ends_a_non_idempotent_request,
    restart_is_survived_by_an_idempotent_request,
    unreachable_agent_ends_a_non_idempotent_request,
    pieces_of_an_abandoned_attempt_are_dropped,
    answer_with_a_gap_is_never_whole,
    answer_with_other_bytes_is_never_whole,
    reordered_and_doubled_pieces_make_one_answer,
    answer_that_began_is_not_tried_again,
    failed_non_idempotent_request_is_not_tried_again,
    refusal_after_the_answer_began_proves_nothing,
    paused_process_finds_its_requests_expired,
    expired_submission_is_revoked,
    leaving_agent_gets_no_new_work,
    keyed_request_stays_at_the_home_of_its_key,
    word_of_another_agent_is_not_taken,
    caller_gone_cancels,
    lost_end_marker_is_asked_for_again,
];

#[gtest]
fn failures_come_out_as_promised() {
    for case in &CASES {
        expect_that!((case.run)(Mechanisms::ALL), ok(eq(&())), "{}", case.name);
    }
}

/// One mechanism turned off, and the failures that then come out wrong.
struct Mutation {
    name: &'static str,
    mechanisms: Mechanisms,
    red: &'static [&'static str],
}

const ON: Mechanisms = Mechanisms::ALL;

const MUTATIONS: [Mutation; 13] = [
    Mutation {
        name: "revoke",
        mechanisms: Mechanisms { revoke: false, ..ON },
        red: &[
            "unacknowledged_submission_is_revoked_and_tried_again",
            "running_attempt_is_attached_after_revocation",
        ],
    },
    Mutation {
        name: "reattach",
        mechanisms: Mechanisms { reattach: false, ..ON },
        red: &["silent_stream_is_attached_from_the_next_piece"],
    },
    Mutation {
        name: "fresh_link_on_silence",
        mechanisms: Mechanisms { fresh_link_on_silence: false, ..ON },
        red: &[
            "unacknowledged_submission_is_revoked_and_tried_again",
            "running_attempt_is_attached_after_revocation",
            "silent_stream_is_attached_from_the_next_piece",
        ],
    },
    Mutation {
        name: "heartbeats",
        mechanisms: Mechanisms { heartbeats: false, ..ON },
        red: &["silent_stream_is_attached_from_the_next_piece"],
    },
    Mutation {
        name: "end_marker_check",
        mechanisms: Mechanisms { end_marker_check: false, ..ON },
        red: &["answer_with_a_gap_is_never_whole", "answer_with_other_bytes_is_never_whole"],
    },
    Mutation {
        name: "chunk_order",
        mechanisms: Mechanisms { chunk_order: false, ..ON },
        red: &[
            "silent_stream_is_attached_from_the_next_piece",
            "reordered_and_doubled_pieces_make_one_answer",
        ],
    },
    Mutation {
        name: "attempt_id_check",
        mechanisms: Mechanisms { attempt_id_check: false, ..ON },
        red: &["pieces_of_an_abandoned_attempt_are_dropped"],
    },
    Mutation {
        name: "incarnation_binding",
        mechanisms: Mechanisms { incarnation_binding: false, ..ON },
        red: &[
            "restart_ends_a_non_idempotent_request",
            "restart_is_survived_by_an_idempotent_request",
            "word_of_another_agent_is_not_taken",
        ],
    },
    Mutation {
        name: "retry_only_not_run",
        mechanisms: Mechanisms { retry_only_not_run: false, ..ON },
        red: &[
            "failed_non_idempotent_request_is_not_tried_again",
            "refusal_after_the_answer_began_proves_nothing",
        ],
    },
    Mutation {
        name: "no_retry_after_begin",
        mechanisms: Mechanisms { no_retry_after_begin: false, ..ON },
        red: &["answer_with_other_bytes_is_never_whole", "answer_that_began_is_not_tried_again"],
    },
    Mutation {
        name: "deadline_check",
        mechanisms: Mechanisms { deadline_check: false, ..ON },
        red: &["paused_process_finds_its_requests_expired", "expired_submission_is_revoked"],
    },
    Mutation {
        name: "agent_leaving",
        mechanisms: Mechanisms { agent_leaving: false, ..ON },
        red: &["leaving_agent_gets_no_new_work"],
    },
    Mutation {
        name: "key_home_only",
        mechanisms: Mechanisms { key_home_only: false, ..ON },
        red: &["keyed_request_stays_at_the_home_of_its_key"],
    },
];

#[gtest]
fn each_mechanism_prevents_a_failure() {
    for mutation in &MUTATIONS {
        let red = CASES.iter().filter(|case| (case.run)(mutation.mechanisms).is_err());
        let red: Vec<&str> = red.map(|case| case.name).collect();
        expect_that!(red, eq(mutation.red), "without {}", mutation.name);
    }
}
