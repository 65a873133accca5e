//! Export of metrics as a table and as files. The same run produces the same bytes.

use super::{ClassMetrics, DestinationMetrics, Metrics, P50, P99};
use hdrhistogram::serialization::interval_log::{IntervalLogWriterBuilder, Tag};
use hdrhistogram::serialization::V2Serializer;
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

/// Number of quantiles written per halving of the distance to the 100th percentile.
const QUANTILE_TICKS: u32 = 2;

impl Metrics {
    /// Formats the metrics as a table for a terminal.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<16} {:>9} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9}\n",
            "class",
            "accepted",
            "in time",
            "late",
            "rejected",
            "failed",
            "p50 ms",
            "p99 ms",
            "attempts"
        );
        for class in &self.classes {
            text.push_str(&table_row(class));
        }
        text
    }

    /// Writes `classes.csv`, `latency.csv`, `partners.csv` and `latency.hlog` into a folder. `latency.hlog` contains the
    /// delivery times by class, in microseconds, in the log format of HdrHistogram.
    ///
    /// # Errors
    /// If a file cannot be written.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        fs::write(folder.join("latency.hlog"), self.histogram_log()?)?;
        fs::write(folder.join("classes.csv"), self.classes_csv())?;
        fs::write(folder.join("latency.csv"), self.latency_csv())?;
        fs::write(folder.join("partners.csv"), self.destinations_csv())
    }

    fn classes_csv(&self) -> String {
        let mut csv =
            "class,offered,taken,delivered,in_time,refused,failed,legs,earned\n".to_owned();
        for ClassMetrics {
            class,
            counts,
            delivered_value,
            ..
        } in &self.classes
        {
            let _ = writeln!(
                csv,
                "{class},{},{},{},{},{},{},{},{delivered_value:.3}",
                counts.offered,
                counts.accepted,
                counts.delivered,
                counts.in_time,
                counts.rejected,
                counts.failed,
                counts.attempts
            );
        }
        csv
    }

    fn latency_csv(&self) -> String {
        let mut csv = "class,quantile,ms\n".to_owned();
        for ClassMetrics {
            class,
            delivery_time_us,
            ..
        } in &self.classes
        {
            for value in delivery_time_us.iter_quantiles(QUANTILE_TICKS) {
                let ms = value.value_iterated_to() as f64 / 1000.0;
                let _ = writeln!(csv, "{class},{:.6},{ms:.3}", value.quantile_iterated_to());
            }
        }
        csv
    }

    fn destinations_csv(&self) -> String {
        let mut csv = "partner,from_s,calls,delivered\n".to_owned();
        for DestinationMetrics {
            destination,
            calls,
            delivered,
        } in &self.destinations
        {
            for bin in 0..calls.len().max(delivered.len()) {
                let count = |bins: &[u32]| bins.get(bin).copied().unwrap_or(0);
                let (calls, delivered) = (count(calls), count(delivered));
                if calls + delivered > 0 {
                    let from_s = bin as f64 * self.bin_s;
                    let _ = writeln!(csv, "{destination},{from_s:.3},{calls},{delivered}");
                }
            }
        }
        csv
    }

    fn histogram_log(&self) -> io::Result<Vec<u8>> {
        let mut log = Vec::new();
        let mut serializer = V2Serializer::new();
        let mut writer = IntervalLogWriterBuilder::new()
            .begin_log_with(&mut log, &mut serializer)
            .map_err(io::Error::other)?;
        let length = Duration::from_secs_f64(self.open_messages().len() as f64 * self.bin_s);
        for class in &self.classes {
            // A name that contains whitespace or a comma is not a valid tag. The histogram of such a class has no tag.
            let tag = Tag::new(&class.class);
            writer
                .write_histogram(&class.delivery_time_us, Duration::ZERO, length, tag)
                .map_err(|error| io::Error::other(format!("{error:?}")))?;
        }
        drop(writer);
        Ok(log)
    }
}

fn table_row(metrics: &ClassMetrics) -> String {
    let counts = &metrics.counts;
    let share = |count: u64| {
        let percent = 100.0 * count as f64 / counts.accepted.max(1) as f64;
        format!("{percent:.1}%")
    };
    format!(
        "{:<16} {:>9} {:>8} {:>8} {:>8} {:>8} {:>9.1} {:>9.1} {:>9.2}\n",
        metrics.class,
        counts.accepted,
        share(counts.in_time),
        share(counts.delivered - counts.in_time),
        share(counts.rejected),
        share(counts.failed),
        metrics.delivery_time_ms(P50),
        metrics.delivery_time_ms(P99),
        counts.attempts_per_message()
    )
}
