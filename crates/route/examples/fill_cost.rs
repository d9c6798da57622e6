//! Measures the processor time of the fill limit's rules: per pause, and per second of a gateway
//! with eight streams. `cargo run --release -p bn-route --example fill_cost`.

use bn_route::{FillRule, PauseBounds, UnitController};
use std::time::{Duration, Instant};

/// Events of eight streams per pass, and passes.
const STREAMS: u64 = 8;
const PASSES: u64 = 20_000;

fn main() {
    let bounds = PauseBounds {
        max_pause: Duration::from_millis(120),
        idle_pass: Duration::from_millis(36),
    };
    for rule in [FillRule::Pauses, FillRule::Streams] {
        let mut controller = UnitController::new(rule);
        let mut now = Duration::ZERO;
        let mut evaluations = 0u64;
        let start = Instant::now();
        for pass in 0..PASSES {
            // One pass in eleven is longer, so that candidates differ in their share in time.
            let ms = if pass % 11 == 0 { 120 } else { 85 + pass % 7 };
            let pause = Duration::from_millis(ms);
            now += pause;
            for _ in 0..STREAMS {
                let update = controller.observe_pause(now, pause, bounds, 23.0, || 0.6);
                evaluations += u64::from(update.is_some());
            }
        }
        let spent = start.elapsed();
        let per_evaluation = spent.as_secs_f64() * 1e6 / evaluations.max(1) as f64;
        let share = 100.0 * spent.as_secs_f64() / now.as_secs_f64();
        let rule = rule.name();
        println!("{rule}: {per_evaluation:.2} us per evaluation, {share:.4} % of a core");
    }
}
