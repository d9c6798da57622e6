//! `bench group`: the balancing policy on seeded drift (hour, season, a sudden event), compared
//! with a static map and a full repack in each window, with the weights of both users.

use super::table;
use crate::error::{CliResult, Error};
use bn_group::{Costs, Estimate, ExpertMap, plan, repack, skew, step_cost};
use plotters::prelude::{
    BLUE, ChartBuilder, GREEN, IntoDrawingArea, LineSeries, PathElement, RED, RGBColor, SVGBackend,
    WHITE,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Number of windows; each ends with a decision.
const WINDOWS: usize = 200;
/// Steps per window.
const WINDOW_STEPS: f64 = 6000.0;
/// Tokens per step and layer over all ranks.
const TOKENS: f64 = 4096.0;
/// First window of the sudden event, and its length in windows.
const EVENT: (usize, usize) = (120, 40);
/// Weight of the newest window in the estimate.
const ALPHA: f64 = 0.3;
/// Duration of a layer's step per token on its busiest rank, in seconds.
const TOKEN_SECONDS: f64 = 2e-7;
/// Pause per loaded copy, in seconds.
const LOAD_SECONDS: f64 = 0.02;
/// Number of windows for which a better map is expected to last.
const HORIZON: f64 = 3.0;

#[derive(clap::Args)]
#[command(after_help = "Example:\n  buckthornnotch bench group --plot docs/group.svg")]
pub(crate) struct Args {
    /// Numbers of ranks.
    #[arg(long, value_delimiter = ',', default_value = "8,16,32,64")]
    ranks: Vec<usize>,
    #[arg(long, default_value_t = 128)]
    experts: usize,
    #[arg(long, default_value_t = 4)]
    layers: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the skew over time of the last number of ranks to this SVG file.
    #[arg(long)]
    plot: Option<PathBuf>,
}

/// Result of one placement strategy.
struct Outcome {
    skews: Vec<f64>,
    loads: usize,
    pause: f64,
    steps: f64,
    decision: Duration,
}

type Weights = (&'static str, f64, f64);
/// Name, skew weight and pause weight of the two users, as in their `settings`.
const USERS: [Weights; 2] = [("roshan", 2.0, 1.0), ("ventilprova", 1.0, 2.0)];

pub(crate) fn run(args: &Args) -> CliResult {
    let mut t = table(&[
        "ranks",
        "way",
        "skew mean",
        "skew 99%",
        "copies loaded",
        "pause s",
        "stepping s",
        "decision ms",
    ]);
    let mut curves = Vec::new();
    for ranks in &args.ranks {
        curves.clear();
        let strategies: [(&str, Option<Weights>); 4] = [
            ("static", None),
            ("repack", None),
            ("roshan", Some(USERS[0])),
            ("ventilprova", Some(USERS[1])),
        ];
        for (name, weights) in strategies {
            let outcome = simulate(args, *ranks, name, weights);
            let mut sorted = outcome.skews.clone();
            sorted.sort_by(f64::total_cmp);
            let mean = outcome.skews.iter().sum::<f64>() / outcome.skews.len() as f64;
            let high = sorted.get(sorted.len() * 99 / 100).copied().unwrap_or(0.0);
            t.add_row([
                ranks.to_string(),
                name.into(),
                format!("{mean:.3}"),
                format!("{high:.3}"),
                outcome.loads.to_string(),
                format!("{:.1}", outcome.pause),
                format!("{:.1}", outcome.steps),
                format!("{:.2}", outcome.decision.as_secs_f64() * 1e3),
            ]);
            curves.push((name, outcome.skews));
        }
    }
    println!("{t}");
    args.plot
        .as_ref()
        .map_or(Ok(()), |path| draw_plot(path, &curves))
}

/// Simulates the drift with one placement strategy; the drift is the same for every strategy.
fn simulate(args: &Args, ranks: usize, strategy: &str, weights: Option<Weights>) -> Outcome {
    let mut drift = Drift::new(args);
    let (_, skew_weight, move_weight) = weights.unwrap_or(("", 1.0, 1.0));
    let costs = Costs {
        ranks,
        slots: args.experts.div_ceil(ranks) + 1,
        token_seconds: TOKEN_SECONDS,
        horizon_steps: WINDOW_STEPS * HORIZON,
        load_seconds: LOAD_SECONDS,
        skew_weight,
        move_weight,
    };
    let mut map = ExpertMap::round_robin(args.layers, args.experts, ranks);
    let mut estimate = Estimate::default();
    let mut outcome = Outcome {
        skews: Vec::new(),
        loads: 0,
        pause: 0.0,
        steps: 0.0,
        decision: Duration::ZERO,
    };
    for window in 0..WINDOWS {
        let loads = drift.window(window);
        outcome.skews.push(skew(&map, &loads, ranks));
        outcome.steps += step_cost(&map, &loads, ranks) * TOKEN_SECONDS * WINDOW_STEPS;
        estimate.update(&loads, ALPHA);
        let start = Instant::now();
        let next = match (strategy, weights) {
            ("repack", _) => Some(repack(&estimate, &costs)),
            (_, Some(_)) => plan(&map, &estimate, &costs).map(|p| p.map),
            _ => None,
        };
        outcome.decision = outcome.decision.max(start.elapsed());
        if let Some(next) = next {
            let loaded = map.copies_to_load(&next);
            outcome.loads += loaded;
            outcome.pause += loaded as f64 * LOAD_SECONDS;
            map = next;
        }
    }
    outcome
}

/// Drifting popularity of experts: a slow cycle (season), a faster one (hour), and a temporary
/// event that makes a few other experts hot.
struct Drift {
    rng: SmallRng,
    base: Vec<Vec<f64>>,
    phase: Vec<Vec<f64>>,
    event: Vec<Vec<bool>>,
}

impl Drift {
    fn new(args: &Args) -> Drift {
        let mut rng = SmallRng::seed_from_u64(args.seed);
        let mut grid = |f: fn(&mut SmallRng) -> f64| -> Vec<Vec<f64>> {
            let layer = |_| (0..args.experts).map(|_| f(&mut rng)).collect();
            (0..args.layers).map(layer).collect()
        };
        // Popularity follows a power law, in random order.
        let base = grid(|r| 1.0 / (1.0 - r.random::<f64>()).max(1e-3).powf(-0.6).recip());
        let phase = grid(|r| r.random::<f64>());
        let event = grid(|r| r.random::<f64>());
        let event = event
            .iter()
            .map(|l| l.iter().map(|e| *e < 0.04).collect())
            .collect();
        Drift {
            rng,
            base,
            phase,
            event,
        }
    }

    /// Tokens of each expert in this window.
    fn window(&mut self, window: usize) -> Vec<Vec<f64>> {
        let t = window as f64;
        let in_event = (EVENT.0..EVENT.0 + EVENT.1).contains(&window);
        let mut layers = Vec::new();
        for ((base, phase), event) in self.base.iter().zip(&self.phase).zip(&self.event) {
            let mut loads: Vec<f64> = base
                .iter()
                .zip(phase)
                .zip(event)
                .map(|((b, p), e)| {
                    let season = 1.0 + 0.6 * ((t / 150.0 + p) * std::f64::consts::TAU).sin();
                    let hour = 1.0 + 0.4 * ((t / 24.0 + p * 7.0) * std::f64::consts::TAU).sin();
                    let burst = if in_event && *e { 6.0 } else { 1.0 };
                    let noise = 1.0 + 0.1 * (self.rng.random::<f64>() - 0.5);
                    b * season * hour * burst * noise
                })
                .collect();
            let sum: f64 = loads.iter().sum();
            loads.iter_mut().for_each(|l| *l *= TOKENS / sum);
            layers.push(loads);
        }
        layers
    }
}

fn draw_plot(path: &std::path::Path, curves: &[(&str, Vec<f64>)]) -> CliResult {
    let fail = |reason: String| Error::Failed { reason };
    let root = SVGBackend::new(path, (900, 420)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| fail(e.to_string()))?;
    let highest = curves
        .iter()
        .flat_map(|(_, c)| c)
        .copied()
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption("busiest rank over mean, by window", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..WINDOWS as f64, 1.0..highest * 1.05)
        .map_err(|e| fail(e.to_string()))?;
    chart
        .configure_mesh()
        .draw()
        .map_err(|e| fail(e.to_string()))?;
    let colors = [RGBColor(120, 120, 120), BLUE, GREEN, RED];
    for ((name, curve), color) in curves.iter().zip(colors) {
        let points = curve.iter().enumerate().map(|(i, s)| (i as f64, *s));
        chart
            .draw_series(LineSeries::new(points, &color))
            .map_err(|e| fail(e.to_string()))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .border_style(RGBColor(0, 0, 0))
        .draw()
        .map_err(|e| fail(e.to_string()))?;
    root.present().map_err(|e| fail(e.to_string()))
}
