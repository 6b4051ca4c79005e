//! What following the platform costs it.

use googletest::prelude::*;
use hickorycross_core::{Instance, InstanceId, InstanceState, Role};
use hickorycross_runtime::platform::{FollowMode, PlatformEvent, follow};
use hickorycross_standins::PlatformStandIn;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::watch;

async fn next_revision(events: &mut UnboundedReceiver<PlatformEvent>) -> u64 {
    loop {
        if let Some(PlatformEvent::Config(offer)) = events.recv().await {
            return offer.revision;
        }
    }
}

async fn next_list(events: &mut UnboundedReceiver<PlatformEvent>) -> usize {
    loop {
        if let Some(PlatformEvent::Instances(list)) = events.recv().await {
            return list.len();
        }
    }
}

fn instances(count: u8) -> Vec<Instance> {
    let rows = (1..=count).map(|number| Instance {
        id: InstanceId::new(&format!("entry-{number}")),
        role: Role::Entry,
        link_address: ([127, 0, 0, number], 7400).into(),
        failure_domain: "one".into(),
        state: InstanceState::Live,
    });
    rows.collect()
}

/// Symptom: at 260 KB a document, each process that does not watch reads more than the 5 KB a
/// second that it may spend on control.
/// Sequence: it holds the current document; it polls; nothing has changed.
/// Cause: a poll that does not say what is held is answered with the whole document.
#[gtest]
#[tokio::test]
async fn polls_read_the_document_once_for_each_change() -> googletest::Result<()> {
    let platform = PlatformStandIn::start().await.or_fail()?;
    platform.publish("first").or_fail()?;
    let (sender, mut events) = unbounded_channel();
    let (mode, receiver) = watch::channel(FollowMode::Poll);
    follow(&format!("http://{}", platform.address()), receiver, sender);
    verify_that!(next_revision(&mut events).await, eq(1))?;
    for polls in 1..=3 {
        // The same mode again: the next poll comes at once.
        mode.send(FollowMode::Poll).or_fail()?;
        while platform.read_counts().config_watch < polls {
            tokio::task::yield_now().await;
        }
    }
    expect_that!(platform.read_counts().config, eq(1));
    platform.publish("second").or_fail()?;
    mode.send(FollowMode::Poll).or_fail()?;
    expect_that!(next_revision(&mut events).await, eq(2));
    expect_that!(platform.read_counts().config, eq(1));
    Ok(())
}

/// Symptom: reads of the document are answered with 429 while a rack fails.
/// Sequence: the list changes several times in a second, and every process watches it.
/// Cause: a watch that is renewed at once costs one read of each process for each change.
#[gtest]
#[tokio::test]
async fn changes_of_the_list_that_follow_one_another_are_read_together() -> googletest::Result<()> {
    let platform = PlatformStandIn::start().await.or_fail()?;
    platform.set_instances(instances(1));
    let (sender, mut events) = unbounded_channel();
    let (_mode, receiver) = watch::channel(FollowMode::Watch);
    follow(&format!("http://{}", platform.address()), receiver, sender);
    verify_that!(next_list(&mut events).await, eq(1))?;
    for count in 2..=9 {
        platform.set_instances(instances(count));
        tokio::task::yield_now().await;
    }
    expect_that!(next_list(&mut events).await, eq(9));
    let counts = platform.read_counts();
    expect_that!(counts.instances + counts.instances_watch, eq(2));
    Ok(())
}
