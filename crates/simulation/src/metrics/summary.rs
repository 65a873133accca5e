//! A run in few figures: what experiments keep of each.

use super::{Ends, Tally};
use crate::invariants::{Verdict, Watch};
use crate::scenario::Scenario;
use crate::simulation::{play, Make};
use serde::{Deserialize, Serialize};

/// What came of one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassFigures {
    /// Its name.
    pub class: String,
    /// Messages that clients brought.
    pub offered: u64,
    /// Messages taken on, those that were brought again counted again.
    pub taken: u64,
    /// Delivered.
    pub delivered: u64,
    /// Delivered within the time wanted.
    pub in_time: u64,
    /// Turned away.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Legs.
    pub legs: u64,
    /// Median of the times to delivery, in ms.
    pub p50_ms: f64,
    /// 99 % of them are below, in ms.
    pub p99_ms: f64,
}

impl ClassFigures {
    fn of(ends: &Ends) -> ClassFigures {
        let ms = |quantile| ends.took_us.value_at_quantile(quantile) as f64 / 1000.0;
        ClassFigures {
            class: ends.class.clone(),
            offered: ends.offered,
            taken: ends.taken,
            delivered: ends.delivered,
            in_time: ends.in_time,
            refused: ends.refused,
            failed: ends.failed,
            legs: ends.legs,
            p50_ms: ms(0.5),
            p99_ms: ms(0.99),
        }
    }

    /// The part of what clients brought that was delivered.
    pub fn delivered_part(&self) -> f64 {
        self.delivered as f64 / self.offered.max(1) as f64
    }
}

/// What came of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Worth of what was delivered, as a part of the worth of all that clients brought.
    pub kept: f64,
    /// Messages taken on.
    pub messages: u64,
    /// Legs begun.
    pub legs: u64,
    /// Breaches of rules.
    pub breaches: u64,
    /// The first of them.
    pub first_breach: Option<String>,
    /// By class, in the order of the scenario.
    pub classes: Vec<ClassFigures>,
}

impl Figures {
    /// Of a run that was counted and judged.
    pub fn of(tally: &Tally, verdict: &Verdict) -> Figures {
        let classes: Vec<ClassFigures> = tally.classes.iter().map(ClassFigures::of).collect();
        Figures {
            kept: tally.kept(),
            messages: classes.iter().map(|class| class.taken).sum(),
            legs: classes.iter().map(|class| class.legs).sum(),
            breaches: verdict.count,
            first_breach: verdict
                .breaches
                .first()
                .map(|breach| breach.to_string().lines().next().unwrap_or("").to_owned()),
            classes,
        }
    }
}

/// Plays, counts and judges a scenario.
pub fn measure(scenario: &Scenario, seed: u64, make: Make<'_>) -> (Tally, Verdict) {
    let (mut watch, mut tally) = (Watch::new(scenario), Tally::new(scenario));
    let played = play(scenario, seed, make, &mut |at, seen| {
        watch.see(at, seen);
        tally.see(at, seen);
    });
    (tally, watch.close(played.over))
}
