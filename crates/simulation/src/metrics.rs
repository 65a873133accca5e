//! What came of a run, in figures: ends and times by class, arrivals by partner over time.

mod summary;

pub use summary::{measure, ClassFigures, Figures};

use crate::observation::{End, Seen};
use crate::scenario::Scenario;
use hdrhistogram::serialization::interval_log::{IntervalLogWriterBuilder, Tag};
use hdrhistogram::serialization::V2Serializer;
use hdrhistogram::Histogram;
use marblefall_scheduler::{MessageClass, Span, Time};
use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

/// Bins of a run of up to ten minutes are 100 ms wide; longer runs have so many.
const MOST_BINS: f64 = 6000.0;
const BIN_S: f64 = 0.1;
/// Times are kept in microseconds up to an hour, to three digits.
const LONGEST_US: u64 = 3_600_000_000;

/// What came of one class.
#[derive(Clone, Debug)]
pub struct Ends {
    /// Its name.
    pub class: String,
    /// Messages that clients brought.
    pub offered: u64,
    /// Messages taken on; one that is brought again after it was turned away counts once more.
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
    /// Worth of what was delivered, where one delivered in time counts 1.
    pub earned: f64,
    /// From when the client meant to hand one in to its delivery, in microseconds: not from when it got through.
    pub took_us: Histogram<u64>,
}

/// What came to one partner.
#[derive(Clone, Debug)]
pub struct Came {
    /// Its name.
    pub partner: String,
    /// Calls that came, by bin.
    pub calls: Vec<u32>,
    /// Deliveries, by bin.
    pub delivered: Vec<u32>,
}

/// Counts a run.
pub struct Tally {
    /// By class, in the order of the scenario.
    pub classes: Vec<Ends>,
    /// By partner, in the order of the scenario.
    pub partners: Vec<Came>,
    /// Width of a bin, in s.
    pub bin_s: f64,
    places: Vec<(usize, usize)>,
    open: HashMap<u64, (usize, usize, Time)>,
    /// Messages that couriers held, at most, by bin.
    pub held: Vec<u32>,
    now_held: u32,
    left_held: u32,
    terms: Vec<MessageClass>,
}

/// What one message delivered after so long earns, where one in time earns 1: less in a line, down to the late value.
fn earned(class: &MessageClass, took: Span) -> f64 {
    let late = (took.ms() - class.latency_objective.ms()).max(0.0)
        / (class.deadline.ms() - class.latency_objective.ms()).max(1.0);
    1.0 - (1.0 - class.late_value) * late.min(1.0)
}

impl Tally {
    /// One that has seen nothing.
    pub fn new(scenario: &Scenario) -> Tally {
        let ends = |class: &crate::scenario::Class| Ends {
            class: class.name.clone(),
            offered: 0,
            taken: 0,
            delivered: 0,
            in_time: 0,
            refused: 0,
            failed: 0,
            legs: 0,
            earned: 0.0,
            took_us: Histogram::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are sound"),
        };
        let came = |partner: &crate::destination::Partner| Came {
            partner: partner.name.clone(),
            calls: vec![],
            delivered: vec![],
        };
        Tally {
            classes: scenario.classes.iter().map(ends).collect(),
            partners: scenario.partners.iter().map(came).collect(),
            bin_s: BIN_S.max(scenario.seconds / MOST_BINS),
            places: scenario.places(),
            open: HashMap::new(),
            held: Vec::new(),
            now_held: 0,
            left_held: 0,
            terms: scenario
                .classes
                .iter()
                .map(|class| class.class.clone())
                .collect(),
        }
    }

    fn bin(&self, at: Time) -> usize {
        (at.ms() / 1000.0 / self.bin_s) as usize
    }

    /// Takes what was seen, in its order.
    pub fn see(&mut self, at: Time, seen: &Seen) {
        let bin = self.bin(at);
        let count = |bins: &mut Vec<u32>| {
            if bins.len() <= bin {
                bins.resize(bin + 1, 0);
            }
            bins[bin] += 1;
        };
        match *seen {
            Seen::TakenOn {
                message,
                class,
                partner,
                meant,
                first,
                ..
            } => {
                self.classes[class].taken += 1;
                self.classes[class].offered += u64::from(first);
                self.now_held += 1;
                self.note_held(bin);
                self.open.insert(message, (class, partner, meant));
            }
            Seen::Sent { message, .. } => {
                if let Some((class, ..)) = self.open.get(&message) {
                    self.classes[*class].legs += 1;
                }
            }
            Seen::Came { endpoint, .. } => {
                count(&mut self.partners[self.places[endpoint as usize].0].calls)
            }
            Seen::Ended { message, end } => {
                let Some((class, partner, meant)) = self.open.remove(&message) else {
                    return;
                };
                self.now_held -= 1;
                self.note_held(bin);
                let ends = &mut self.classes[class];
                match end {
                    End::Delivered => {
                        let took = at - meant;
                        ends.delivered += 1;
                        ends.in_time += u64::from(took <= self.terms[class].latency_objective);
                        ends.earned += earned(&self.terms[class], took);
                        ends.took_us.saturating_record(took.0.max(1) as u64);
                        count(&mut self.partners[partner].delivered);
                    }
                    End::Refused(_) => ends.refused += 1,
                    End::Failed => ends.failed += 1,
                }
            }
            Seen::Closed { .. }
            | Seen::Listed { .. }
            | Seen::Fell { .. }
            | Seen::Died { .. }
            | Seen::Began { .. } => {}
        }
    }

    fn note_held(&mut self, bin: usize) {
        if self.held.len() <= bin {
            // Bins in which nothing changed hold what the last change left.
            self.held.resize(bin + 1, self.left_held);
        }
        self.held[bin] = self.held[bin].max(self.now_held);
        self.left_held = self.now_held;
    }

    /// Worth of what was delivered, as a part of the worth of all that clients brought.
    pub fn kept(&self) -> f64 {
        let sum = |of: &dyn Fn(&Ends) -> f64| {
            let worths = self.terms.iter().map(|class| class.priority_weight);
            self.classes
                .iter()
                .zip(worths)
                .map(|(ends, worth)| worth * of(ends))
                .sum::<f64>()
        };
        sum(&|ends| ends.earned) / sum(&|ends| ends.offered as f64).max(1e-9)
    }

    /// A table for people.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<16} {:>9} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9}\n",
            "class",
            "taken on",
            "in time",
            "late",
            "refused",
            "failed",
            "p50 ms",
            "p99 ms",
            "legs each"
        );
        for ends in &self.classes {
            let part =
                |count: u64| format!("{:.1}%", 100.0 * count as f64 / ends.taken.max(1) as f64);
            let ms = |quantile| ends.took_us.value_at_quantile(quantile) as f64 / 1000.0;
            let _ = writeln!(
                text,
                "{:<16} {:>9} {:>8} {:>8} {:>8} {:>8} {:>9.1} {:>9.1} {:>9.2}",
                ends.class,
                ends.taken,
                part(ends.in_time),
                part(ends.delivered - ends.in_time),
                part(ends.refused),
                part(ends.failed),
                ms(0.5),
                ms(0.99),
                ends.legs as f64 / ends.taken.max(1) as f64
            );
        }
        text
    }

    /// Writes `classes.csv`, `latency.csv` and `partners.csv` into a folder, and `latency.hlog`, the times to delivery by
    /// class in microseconds in the log format of HdrHistogram. The same run gives the same bytes.
    ///
    /// # Errors
    /// Of the disk.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        let (mut classes, mut latency) = (
            "class,offered,taken,delivered,in_time,refused,failed,legs,earned\n".to_owned(),
            "class,quantile,ms\n".to_owned(),
        );
        for ends in &self.classes {
            let Ends {
                class,
                offered,
                taken,
                delivered,
                in_time,
                refused,
                failed,
                legs,
                earned,
                took_us,
            } = ends;
            let _ = writeln!(
                classes,
                "{class},{offered},{taken},{delivered},{in_time},{refused},{failed},{legs},{earned:.3}"
            );
            for value in took_us.iter_quantiles(2) {
                let ms = value.value_iterated_to() as f64 / 1000.0;
                let _ = writeln!(
                    latency,
                    "{class},{:.6},{ms:.3}",
                    value.quantile_iterated_to()
                );
            }
        }
        let mut partners = "partner,from_s,calls,delivered\n".to_owned();
        for came in &self.partners {
            for bin in 0..came.calls.len().max(came.delivered.len()) {
                let count = |bins: &[u32]| bins.get(bin).copied().unwrap_or(0);
                let (calls, delivered) = (count(&came.calls), count(&came.delivered));
                if calls + delivered > 0 {
                    let _ = writeln!(
                        partners,
                        "{},{:.3},{calls},{delivered}",
                        came.partner,
                        bin as f64 * self.bin_s
                    );
                }
            }
        }
        let mut log = Vec::new();
        let mut serializer = V2Serializer::new();
        let mut writer = IntervalLogWriterBuilder::new()
            .begin_log_with(&mut log, &mut serializer)
            .map_err(io::Error::other)?;
        let length = Duration::from_secs_f64(self.held.len() as f64 * self.bin_s);
        for ends in &self.classes {
            // A tag holds no blanks and no commas; a name that does is left without one.
            let tag = Tag::new(&ends.class);
            writer
                .write_histogram(&ends.took_us, Duration::ZERO, length, tag)
                .map_err(|error| io::Error::other(format!("{error:?}")))?;
        }
        fs::write(folder.join("latency.hlog"), log)?;
        fs::write(folder.join("classes.csv"), classes)?;
        fs::write(folder.join("latency.csv"), latency)?;
        fs::write(folder.join("partners.csv"), partners)
    }
}
