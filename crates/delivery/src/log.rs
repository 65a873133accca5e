//! Log lines on standard error, as text or as JSON lines.
//!
//! All go through [`log_line!`](crate::log_line), with the reason code and what the line is about as fields, and the
//! instance and connection as spans. A flood is limited: each second of an instance has room for so many lines, and the
//! first one after it is preceded by the count of those that were dropped.

#[doc(hidden)]
pub use tracing;

use std::cell::Cell;
use std::fmt;
use std::time::{Duration, Instant};
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_subscriber::fmt::format::{Format as Layout, Full, Json, JsonFields, Writer};
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::{Layer, Registry};

/// How many lines an instance may write in a second.
const MAX_LINES_PER_SECOND: u32 = 50;
/// How many lines more about single messages, which come in floods and must not crowd out the others.
const MAX_MESSAGE_LINES_PER_SECOND: u32 = 20;

const WINDOW_LENGTH: Duration = Duration::from_secs(1);

/// The lines of one second.
#[derive(Clone, Copy)]
struct FloodWindow {
    started_at: Option<Instant>,
    lines: u32,
    /// Dropped since the last line that was written.
    dropped: u64,
}

impl FloodWindow {
    const EMPTY: FloodWindow = FloodWindow {
        started_at: None,
        lines: 0,
        dropped: 0,
    };

    /// Counts one more line; returns whether there is room for it among so many in a second.
    fn admit(&mut self, now: Instant, max_lines: u32) -> bool {
        let is_over = self
            .started_at
            .is_none_or(|started_at| now - started_at >= WINDOW_LENGTH);
        if is_over {
            self.started_at = Some(now);
            self.lines = 1;
            return true;
        }
        if self.lines < max_lines {
            self.lines += 1;
            return true;
        }
        self.dropped += 1;
        false
    }
}

thread_local! {
    /// Each instance has a thread of its own, and so a window of its own.
    static WINDOW: Cell<FloodWindow> = const { Cell::new(FloodWindow::EMPTY) };
    /// The same for the lines about single messages.
    static MESSAGE_WINDOW: Cell<FloodWindow> = const { Cell::new(FloodWindow::EMPTY) };
}

/// How log lines look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// One line of text each.
    #[default]
    Text,
    /// One JSON object a line each.
    Json,
}

/// Whether one more line of a level has room in this second.
fn admit(level: &Level, now: Instant) -> bool {
    let (cell, max_lines) = if *level <= Level::INFO {
        (&WINDOW, MAX_LINES_PER_SECOND)
    } else {
        (&MESSAGE_WINDOW, MAX_MESSAGE_LINES_PER_SECOND)
    };
    let mut window = cell.get();
    let is_admitted = window.admit(now, max_lines);
    cell.set(window);
    is_admitted
}

/// How many lines were dropped since the last call.
fn take_dropped() -> u64 {
    [&WINDOW, &MESSAGE_WINDOW]
        .into_iter()
        .map(|cell| {
            let mut window = cell.get();
            let dropped = std::mem::take(&mut window.dropped);
            cell.set(window);
            dropped
        })
        .sum()
}

/// Lets as many lines through as there is room for; spans cost nothing until a line is written in them.
struct FloodLimit;

impl<S> Filter<S> for FloodLimit {
    fn enabled(&self, metadata: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        *metadata.level() <= Level::INFO
            || *metadata.level() == Level::DEBUG && metadata.target().starts_with("marblefall")
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        admit(event.metadata().level(), Instant::now())
    }
}

/// Writes before a line how many were dropped.
struct WithDropCount<F> {
    layout: Layout<F>,
    format: Format,
}

impl<S, N, F> FormatEvent<S, N> for WithDropCount<F>
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
    Layout<F>: FormatEvent<S, N>,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        match (take_dropped(), self.format) {
            (0, _) => {}
            (lines, Format::Text) => writeln!(writer, "log lines left out: {lines}")?,
            (lines, Format::Json) => {
                writeln!(
                    writer,
                    r#"{{"level":"INFO","fields":{{"message":"log lines left out","lines":{lines}}}}}"#
                )?;
            }
        }
        self.layout.format_event(context, writer, event)
    }
}

/// Starts to write the log lines of the whole process in a format. The first call counts.
pub fn start(format: Format) {
    let layout = tracing_subscriber::fmt::format()
        .with_target(false)
        .with_level(false);
    let layer = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false);
    match format {
        Format::Text => {
            let counted = WithDropCount::<Full> { layout, format };
            let layer = layer.event_format(counted).with_filter(FloodLimit);
            let _ = tracing::subscriber::set_global_default(Registry::default().with(layer));
        }
        Format::Json => {
            let layout = layout.json().with_current_span(false);
            let counted = WithDropCount::<Json> { layout, format };
            let layer = layer
                .fmt_fields(JsonFields::new())
                .event_format(counted)
                .with_filter(FloodLimit);
            let _ = tracing::subscriber::set_global_default(Registry::default().with(layer));
        }
    }
}

/// Writes a line for operators, unless too many came just now: fields such as `code = %code` first, then a text as in
/// `format!`.
#[macro_export]
macro_rules! log_line {
    ($($part:tt)*) => {
        $crate::log::tracing::info!($($part)*)
    };
}

/// Writes a line about a single message, unless too many of those came just now. They have room of their own.
#[macro_export]
macro_rules! message_line {
    ($($part:tt)*) => {
        $crate::log::tracing::debug!($($part)*)
    };
}

#[cfg(test)]
mod tests;
