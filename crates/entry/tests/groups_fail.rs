//! Tests of model groups with real processes: all ranks use the same expert map in every step,
//! also when agents fail.

mod fleet;

use fleet::{Fleet, agent_program, small_document, wait_for};
use googletest::prelude::*;
use hickorycross_entry::demo::LockStep;
use hickorycross_standins::{GroupClock, Knobs, UdpRelay, expected_answer};
use serde_json::json;

const GROUP: &str = "drafting";
const LOCK_STEP: LockStep =
    LockStep { even_step_us: 5_000, window_steps: 20, expert_load_us: 1_000 };
/// Number of steps after which a group counts as making progress.
const PROGRESS_STEPS: u64 = 100;

async fn start() -> Fleet {
    Fleet::start_with_lock_step(&small_document(), 1, Knobs::default(), Some(LOCK_STEP)).await
}

fn clock(fleet: &Fleet) -> &GroupClock {
    &fleet.stage.groups[GROUP]
}

async fn wait_for_progress(fleet: &Fleet) {
    let goal = clock(fleet).steps_made() + PROGRESS_STEPS;
    wait_for("steps", async || clock(fleet).steps_made() >= goal).await;
}

fn latest_version(fleet: &Fleet) -> u64 {
    clock(fleet).steps().last().map_or(0, |step| step.ranks[0].map.version)
}

/// Returns a demand that is ten times higher for the pair of experts with the given index.
fn skewed_demand(hot: usize) -> Vec<Vec<f64>> {
    let layer = |_| (0..6).map(|expert| if expert / 2 == hot { 400.0 } else { 40.0 }).collect();
    (0..2).map(layer).collect()
}

// Guards against requests that hang although all engines run, and against ranks that use different
// maps. The engines start without a map; then demand drifts and the coordinator proposes other maps
// while requests run. A group needs a first map, and a change has to take effect at the same step
// on all ranks.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_group_serves_requests_while_its_map_follows_demand() -> googletest::Result<()> {
    let fleet = start().await;
    wait_for_progress(&fleet).await;
    let first = latest_version(&fleet);
    clock(&fleet).set_demand(skewed_demand(0));
    wait_for("a newer map", async || latest_version(&fleet) > first).await;
    let body = json!({"model": "draft", "max_tokens": 4, "prompt": "in step"});
    let answer = fleet.post(0, "clerks", "/v1/completions", &body).send().await.or_fail()?;
    let answer: serde_json::Value = answer.json().await.or_fail()?;
    let expected = expected_answer("draft", "in step", 4);
    expect_that!(answer["choices"][0]["text"].as_str(), some(eq(&*expected)));
    expect_that!(clock(&fleet).mixed_steps(), eq(0));
    Ok(())
}

// Guards against a group that stalls permanently or runs a step with two maps. While demand drifts,
// each agent in turn is killed and replaced, then suspended and resumed late, so that coordinators
// fail at arbitrary points; links go silent in between. A failed or replaced coordinator must
// neither block the group nor continue to lead it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_group_survives_the_loss_of_any_agent() -> googletest::Result<()> {
    let mut fleet = start().await;
    wait_for_progress(&fleet).await;
    for (round, name) in ["engine-1", "engine-2", "engine-3"].into_iter().enumerate() {
        clock(&fleet).set_demand(skewed_demand(round));
        let place =
            fleet.stage.agents.iter().position(|agent| agent.backend_server.as_str() == name);
        let settings = fleet.stage.agents[place.or_fail()?].clone();
        let agent = fleet.agents.get_mut(name).or_fail()?;
        agent.kill();
        *agent = fleet::Process::spawn(&agent_program(), &settings.instance, &settings);
        wait_for_progress(&fleet).await;
        fleet.agents[name].suspend();
        tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;
        fleet.agents[name].resume();
        wait_for_progress(&fleet).await;
        fleet.relays.values().for_each(UdpRelay::swallow_open_flows);
        wait_for_progress(&fleet).await;
    }
    expect_that!(clock(&fleet).mixed_steps(), eq(0));
    Ok(())
}
