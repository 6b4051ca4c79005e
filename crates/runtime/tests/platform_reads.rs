//! Tests of the number of reads that following the platform causes.

use googletest::prelude::*;
use hickorycross_core::{Instance, InstanceId, InstanceState, Role};
use hickorycross_runtime::platform::{FollowMode, PlatformEvent, follow};
use hickorycross_standins::PlatformStandIn;
use std::time::{Duration, Instant};
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

/// Guards against polls that transfer an unchanged document.
///
/// A poll without the revision that the process already has is answered with the whole document.
/// With a document of 260 KB, each polling process would exceed its budget of 5 KB per second for
/// control traffic.
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
        // Setting the mode, even to the same value, triggers the next poll immediately.
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

/// Guards against exceeding the platform's rate limit while a rack fails.
///
/// The instance list then changes several times per second and every process watches it. If watches
/// were renewed immediately, each change would cause one read by every process, and reads of the
/// document would be answered with status 429.
#[gtest]
#[tokio::test]
async fn successive_changes_of_the_instance_list_are_read_together() -> googletest::Result<()> {
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

/// Time for which the platform asks its readers to wait when there are too many reads.
const BACKOFF: Duration = Duration::from_secs(1);

/// Guards against reads that keep the platform overloaded because they come before the time that
/// its refusals name.
#[gtest]
#[tokio::test]
async fn no_read_comes_before_the_time_that_a_refusal_names() -> googletest::Result<()> {
    let platform = PlatformStandIn::start().await.or_fail()?;
    platform.set_reads_per_s(0);
    let (sender, mut events) = unbounded_channel();
    let (_mode, receiver) = watch::channel(FollowMode::Poll);
    let started_at = Instant::now();
    follow(&format!("http://{}", platform.address()), receiver, sender);
    for failures in 1..=2 {
        for _resource in ["config", "instances"] {
            let event = events.recv().await;
            verify_that!(event, some(matches_pattern!(PlatformEvent::Unreachable { .. })))?;
        }
        expect_that!(started_at.elapsed(), ge(BACKOFF * failures));
    }
    Ok(())
}
