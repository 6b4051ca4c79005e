//! Model groups of real processes: one expert map in every step, whatever fails.

mod fleet;

use fleet::{Fleet, agent_program, small_document, wait_for};
use googletest::prelude::*;
use hickorycross_entry::demo::LockStep;
use hickorycross_standins::{GroupClock, Knobs, UdpRelay, expected_answer};
use serde_json::json;

const GROUP: &str = "drafting";
const LOCK_STEP: LockStep =
    LockStep { even_step_us: 5_000, window_steps: 20, expert_load_us: 1_000 };
/// Steps that show that a group goes on.
const SOME_STEPS: u64 = 100;

async fn start() -> Fleet {
    Fleet::start_in_step(&small_document(), 1, Knobs::default(), Some(LOCK_STEP)).await
}

fn clock(fleet: &Fleet) -> &GroupClock {
    &fleet.stage.groups[GROUP]
}

async fn goes_on(fleet: &Fleet) {
    let goal = clock(fleet).steps_made() + SOME_STEPS;
    wait_for("steps", async || clock(fleet).steps_made() >= goal).await;
}

fn latest_version(fleet: &Fleet) -> u64 {
    clock(fleet).steps().last().map_or(0, |step| step.ranks[0].map.version)
}

/// Demand that overloads whatever rank holds the first experts.
fn skewed(hot: usize) -> Vec<Vec<f64>> {
    let layer = |_| (0..6).map(|expert| if expert / 2 == hot { 400.0 } else { 40.0 }).collect();
    (0..2).map(layer).collect()
}

// Symptom: requests hang although every engine lives, or a group's ranks mix maps.
// Sequence: a fleet starts with engines that hold no map; demand drifts; the coordinator proposes
// other maps while requests run.
// Cause: a group needs a first map, and each change has to come into force at one step for all.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_group_starts_serves_and_changes_its_map_with_drift() -> googletest::Result<()> {
    let fleet = start().await;
    goes_on(&fleet).await;
    let first = latest_version(&fleet);
    clock(&fleet).set_demand(skewed(0));
    wait_for("another map", async || latest_version(&fleet) > first).await;
    let body = json!({"model": "draft", "max_tokens": 4, "prompt": "in step"});
    let answer = fleet.post(0, "clerks", "/v1/completions", &body).send().await.or_fail()?;
    let answer: serde_json::Value = answer.json().await.or_fail()?;
    let expected = expected_answer("draft", "in step", 4);
    expect_that!(answer["choices"][0]["text"].as_str(), some(eq(&*expected)));
    expect_that!(clock(&fleet).mixed_steps(), eq(0));
    Ok(())
}

// Symptom: a group stands still for good, or steps on two maps.
// Sequence: while demand drifts, each agent in turn is killed and replaced, and frozen and woken
// late, so that coordinators are lost in whatever they were doing; links go silent in between.
// Cause: a coordinator that is lost or deposed must neither hold the group nor go on leading it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_group_survives_the_loss_of_any_agent() -> googletest::Result<()> {
    let mut fleet = start().await;
    goes_on(&fleet).await;
    for (round, name) in ["engine-1", "engine-2", "engine-3"].into_iter().enumerate() {
        clock(&fleet).set_demand(skewed(round));
        let place = fleet.stage.agents.iter().position(|one| one.backend_server.as_str() == name);
        let settings = fleet.stage.agents[place.or_fail()?].clone();
        let agent = fleet.agents.get_mut(name).or_fail()?;
        agent.kill();
        *agent = fleet::Process::spawn(&agent_program(), &settings.instance, &settings);
        goes_on(&fleet).await;
        fleet.agents[name].freeze();
        tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;
        fleet.agents[name].thaw();
        goes_on(&fleet).await;
        fleet.relays.values().for_each(UdpRelay::swallow_open_flows);
        goes_on(&fleet).await;
    }
    expect_that!(clock(&fleet).mixed_steps(), eq(0));
    Ok(())
}
