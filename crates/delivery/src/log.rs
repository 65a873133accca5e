//! Log lines on standard error, as text or as JSON lines.
//!
//! All lines are written by [`log_line!`](crate::log_line), [`message_line!`](crate::message_line) and
//! [`delivery_line!`](crate::delivery_line), with the reason code and the subject as fields, and the instance and connection as spans. The rate of lines is limited for each instance.
//! After some lines were dropped, the next line is preceded by the number of dropped lines.

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

/// Maximum number of lines that an instance may write in a second.
const MAX_LINES_PER_SECOND: u32 = 50;
/// Maximum number of lines about single messages that an instance may write in a second. They have a separate limit, so
/// that they do not displace other lines.
const MAX_MESSAGE_LINES_PER_SECOND: u32 = 20;
/// Maximum number of lines about delivered attempts that an instance may write in a second. They have a separate limit, so
/// that they do not displace lines about attempts that failed.
const MAX_DELIVERY_LINES_PER_SECOND: u32 = 10;
/// Length of the window in which lines are counted.
const WINDOW_LENGTH: Duration = Duration::from_secs(1);

/// The number of lines in the current window of a rate limit, and of lines dropped by it.
#[derive(Clone, Copy)]
struct LineWindow {
    started_at: Option<Instant>,
    lines: u32,
    /// Number of dropped lines since the last written line.
    dropped: u64,
}

impl LineWindow {
    const EMPTY: LineWindow = LineWindow {
        started_at: None,
        lines: 0,
        dropped: 0,
    };

    /// Counts a line. Returns whether it is within the limit.
    fn admit(&mut self, now: Instant, max_lines: u32) -> bool {
        let has_ended = self
            .started_at
            .is_none_or(|started_at| now - started_at >= WINDOW_LENGTH);
        if has_ended {
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
    /// Window of the instance. It is thread-local, as each instance has its own thread.
    static WINDOW: Cell<LineWindow> = const { Cell::new(LineWindow::EMPTY) };
    /// Window of the instance for lines about single messages.
    static MESSAGE_WINDOW: Cell<LineWindow> = const { Cell::new(LineWindow::EMPTY) };
    /// Window of the instance for lines about delivered attempts.
    static DELIVERY_WINDOW: Cell<LineWindow> = const { Cell::new(LineWindow::EMPTY) };
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// A line of text.
    #[default]
    Text,
    /// A JSON object on one line.
    Json,
}

/// Counts a line of a level. Returns whether it may be written.
fn admit(level: &Level, now: Instant) -> bool {
    let (cell, max_lines) = if *level <= Level::INFO {
        (&WINDOW, MAX_LINES_PER_SECOND)
    } else if *level == Level::DEBUG {
        (&MESSAGE_WINDOW, MAX_MESSAGE_LINES_PER_SECOND)
    } else {
        (&DELIVERY_WINDOW, MAX_DELIVERY_LINES_PER_SECOND)
    };
    let mut window = cell.get();
    let is_admitted = window.admit(now, max_lines);
    cell.set(window);
    is_admitted
}

/// Returns the number of dropped lines since the last call.
fn take_dropped() -> u64 {
    // Lines about deliveries are a sample, so those that are left out are not counted.
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

/// A filter that drops lines above the limits. Spans are not counted.
struct LineLimit;

impl<S> Filter<S> for LineLimit {
    fn enabled(&self, metadata: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        *metadata.level() <= Level::INFO || metadata.target().starts_with("marblefall")
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        admit(event.metadata().level(), Instant::now())
    }
}

/// A layout that writes the number of dropped lines before the next line.
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
            (lines, Format::Text) => writeln!(writer, "log lines dropped: {lines}")?,
            (lines, Format::Json) => {
                writeln!(
                    writer,
                    r#"{{"level":"INFO","fields":{{"message":"log lines dropped","lines":{lines}}}}}"#
                )?;
            }
        }
        self.layout.format_event(context, writer, event)
    }
}

/// Starts the logging of the process in a format. Only the first call has an effect.
pub fn start(format: Format) {
    let layout = tracing_subscriber::fmt::format()
        .with_target(false)
        .with_level(false);
    let layer = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false);
    match format {
        Format::Text => {
            let with_drop_count = WithDropCount::<Full> { layout, format };
            let layer = layer.event_format(with_drop_count).with_filter(LineLimit);
            let _ = tracing::subscriber::set_global_default(Registry::default().with(layer));
        }
        Format::Json => {
            let layout = layout.json().with_current_span(false);
            let with_drop_count = WithDropCount::<Json> { layout, format };
            let layer = layer
                .fmt_fields(JsonFields::new())
                .event_format(with_drop_count)
                .with_filter(LineLimit);
            let _ = tracing::subscriber::set_global_default(Registry::default().with(layer));
        }
    }
}

/// Writes a line for operators, unless the limit of the current second is reached. The fields, such as `code = %code`, are
/// followed by a text as in `format!`.
#[macro_export]
macro_rules! log_line {
    ($($part:tt)*) => {
        $crate::log::tracing::info!($($part)*)
    };
}

/// Writes a line about a single message, unless the limit of the current second for such lines is reached.
#[macro_export]
macro_rules! message_line {
    ($($part:tt)*) => {
        $crate::log::tracing::debug!($($part)*)
    };
}

/// Writes a line about a delivered attempt, unless the limit of the current second for such lines is reached.
#[macro_export]
macro_rules! delivery_line {
    ($($part:tt)*) => {
        $crate::log::tracing::trace!($($part)*)
    };
}

#[cfg(test)]
mod tests;
