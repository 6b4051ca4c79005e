//! Requests of one run, drawn beforehand so that every set of policies meets the same ones.

use super::fleet::{SERVICE_MS, TEAMS, TIERS, team_rate_per_s};
use super::scenario::Scenario;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};

/// Spread of service times: standard deviation of their logarithm.
const SERVICE_SIGMA: f64 = 0.5;

/// Longest service time.
const LONGEST_SERVICE_MS: f64 = 2500.0;

/// One request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) arrives_ms: u64,
    pub(crate) team: usize,
    pub(crate) rank: u8,
    pub(crate) deadline_ms: u64,
    /// Time that it occupies a slot of a healthy backend server.
    pub(crate) service_ms: f64,
    /// Which entry the platform's balancer sends it to: index modulo the entries that live.
    pub(crate) entry_draw: u32,
}

/// Draws all requests of a scenario, in order of arrival.
pub(crate) fn draw(scenario: &Scenario, seed: u64) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for team in 0..TEAMS.len() {
        draw_team(scenario, team, &mut rng, &mut requests);
    }
    requests.sort_by_key(|request| request.arrives_ms);
    requests
}

/// Draws at the team's highest rate and keeps each request with the probability that the rate at
/// its moment gives.
fn draw_team(scenario: &Scenario, team: usize, rng: &mut ChaCha8Rng, requests: &mut Vec<Request>) {
    let base_per_s = team_rate_per_s(team) * f64::from(scenario.load_permille) / 1000.0;
    let peak = scenario
        .surges
        .iter()
        .filter(|surge| surge.team == team)
        .map(|surge| surge.factor)
        .fold(1.0, f64::max);
    let Ok(gap_s) = Exp::new(base_per_s * peak) else {
        return;
    };
    let mut moment_ms = scenario.run.from_ms as f64;
    loop {
        moment_ms += gap_s.sample(rng) * 1000.0;
        let arrives_ms = moment_ms as u64;
        if !scenario.run.has(arrives_ms) {
            return;
        }
        let request = request(team, arrives_ms, rng);
        let factor = factor_at(scenario, team, arrives_ms);
        if rng.random::<f64>() * peak < factor {
            requests.push(request);
        }
    }
}

fn factor_at(scenario: &Scenario, team: usize, moment_ms: u64) -> f64 {
    let of_team = scenario.surges.iter().filter(|surge| surge.team == team);
    of_team.map(|surge| surge.factor_at(moment_ms)).product()
}

fn request(team: usize, arrives_ms: u64, rng: &mut ChaCha8Rng) -> Request {
    let rank = TEAMS[team].rank;
    Request {
        arrives_ms,
        team,
        rank,
        deadline_ms: arrives_ms + TIERS[rank as usize].allowed_ms,
        service_ms: service_ms(rng),
        entry_draw: rng.random(),
    }
}

fn service_ms(rng: &mut ChaCha8Rng) -> f64 {
    let mu = SERVICE_MS.ln() - SERVICE_SIGMA * SERVICE_SIGMA / 2.0;
    let drawn = LogNormal::new(mu, SERVICE_SIGMA).map_or(SERVICE_MS, |normal| normal.sample(rng));
    drawn.clamp(20.0, LONGEST_SERVICE_MS)
}
