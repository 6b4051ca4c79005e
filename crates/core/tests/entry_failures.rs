//! Tests the outcome of each failure on the request path, and which mechanism each outcome needs.

mod entry_support;

use entry_support::scenarios;
use googletest::prelude::*;
use hickorycross_core::entry::Mechanisms;

struct Case {
    name: &'static str,
    run: fn(Mechanisms) -> std::result::Result<(), String>,
}

macro_rules! cases {
    ($($name:ident),* $(,)?) => {
        [$(Case { name: stringify!($name), run: scenarios::$name }),*]
    };
}

const CASES: [Case; 20] = cases![
    unacknowledged_submission_is_revoked_and_retried,
    running_attempt_is_attached_after_revocation,
    silent_stream_is_attached_from_the_next_chunk,
    agent_restart_ends_a_non_idempotent_request,
    agent_restart_retries_an_idempotent_request,
    unreachable_agent_ends_a_non_idempotent_request,
    chunks_of_an_abandoned_attempt_are_dropped,
    response_with_missing_chunks_is_never_complete,
    response_with_a_wrong_byte_count_is_never_complete,
    reordered_and_duplicate_chunks_make_one_response,
    started_response_is_not_retried,
    failed_non_idempotent_request_is_not_retried,
    refusal_after_the_response_started_is_not_trusted,
    requests_expire_while_the_process_is_paused,
    expired_submission_is_revoked,
    leaving_agent_gets_no_new_attempts,
    keyed_request_stays_at_the_home_of_its_key,
    revocation_result_from_another_agent_is_ignored,
    disconnected_caller_cancels_the_attempt,
    lost_end_marker_is_requested_again,
];

#[gtest]
fn each_failure_has_its_safe_outcome() {
    for case in &CASES {
        expect_that!((case.run)(Mechanisms::ALL), ok(eq(&())), "{}", case.name);
    }
}

/// A disabled mechanism, and the scenarios that fail without it.
struct Mutation {
    name: &'static str,
    mechanisms: Mechanisms,
    failing: &'static [&'static str],
}

const ALL: Mechanisms = Mechanisms::ALL;

const MUTATIONS: [Mutation; 13] = [
    Mutation {
        name: "revoke",
        mechanisms: Mechanisms { revoke: false, ..ALL },
        failing: &[
            "unacknowledged_submission_is_revoked_and_retried",
            "running_attempt_is_attached_after_revocation",
        ],
    },
    Mutation {
        name: "reattach",
        mechanisms: Mechanisms { reattach: false, ..ALL },
        failing: &["silent_stream_is_attached_from_the_next_chunk"],
    },
    Mutation {
        name: "fresh_link_on_silence",
        mechanisms: Mechanisms { fresh_link_on_silence: false, ..ALL },
        failing: &[
            "unacknowledged_submission_is_revoked_and_retried",
            "running_attempt_is_attached_after_revocation",
            "silent_stream_is_attached_from_the_next_chunk",
        ],
    },
    Mutation {
        name: "heartbeats",
        mechanisms: Mechanisms { heartbeats: false, ..ALL },
        failing: &["silent_stream_is_attached_from_the_next_chunk"],
    },
    Mutation {
        name: "end_marker_check",
        mechanisms: Mechanisms { end_marker_check: false, ..ALL },
        failing: &[
            "response_with_missing_chunks_is_never_complete",
            "response_with_a_wrong_byte_count_is_never_complete",
        ],
    },
    Mutation {
        name: "chunk_order",
        mechanisms: Mechanisms { chunk_order: false, ..ALL },
        failing: &[
            "silent_stream_is_attached_from_the_next_chunk",
            "reordered_and_duplicate_chunks_make_one_response",
        ],
    },
    Mutation {
        name: "attempt_id_check",
        mechanisms: Mechanisms { attempt_id_check: false, ..ALL },
        failing: &["chunks_of_an_abandoned_attempt_are_dropped"],
    },
    Mutation {
        name: "incarnation_binding",
        mechanisms: Mechanisms { incarnation_binding: false, ..ALL },
        failing: &[
            "agent_restart_ends_a_non_idempotent_request",
            "agent_restart_retries_an_idempotent_request",
            "revocation_result_from_another_agent_is_ignored",
        ],
    },
    Mutation {
        name: "retry_only_not_run",
        mechanisms: Mechanisms { retry_only_not_run: false, ..ALL },
        failing: &[
            "failed_non_idempotent_request_is_not_retried",
            "refusal_after_the_response_started_is_not_trusted",
        ],
    },
    Mutation {
        name: "no_retry_after_begin",
        mechanisms: Mechanisms { no_retry_after_begin: false, ..ALL },
        failing: &[
            "response_with_a_wrong_byte_count_is_never_complete",
            "started_response_is_not_retried",
        ],
    },
    Mutation {
        name: "deadline_check",
        mechanisms: Mechanisms { deadline_check: false, ..ALL },
        failing: &["requests_expire_while_the_process_is_paused", "expired_submission_is_revoked"],
    },
    Mutation {
        name: "agent_leaving",
        mechanisms: Mechanisms { agent_leaving: false, ..ALL },
        failing: &["leaving_agent_gets_no_new_attempts"],
    },
    Mutation {
        name: "key_home_only",
        mechanisms: Mechanisms { key_home_only: false, ..ALL },
        failing: &["keyed_request_stays_at_the_home_of_its_key"],
    },
];

#[gtest]
fn each_mechanism_prevents_a_failure() {
    for mutation in &MUTATIONS {
        let failing = CASES.iter().filter(|case| (case.run)(mutation.mechanisms).is_err());
        let failing: Vec<&str> = failing.map(|case| case.name).collect();
        expect_that!(failing, eq(mutation.failing), "without {}", mutation.name);
    }
}
