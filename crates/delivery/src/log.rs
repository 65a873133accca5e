//! Log lines on standard error, as text or as JSON lines.
//!
//! All lines are written by [`log_line!`](crate::log_line), [`connection_line!`](crate::connection_line),
//! [`message_line!`](crate::message_line) and [`delivery_line!`](crate::delivery_line), with the reason code and the subject as fields, and the instance and connection as spans. The rate of lines is limited for each instance.
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

/// The target of lines about connections that ended.
#[doc(hidden)]
pub const CONNECTION_TARGET: &str = "marblefall_connection";

/// The kinds of lines. Each has a limit of its own, so that frequent lines do not displace rare ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LineKind {
    /// Lines for operators about the instance.
    Instance,
    /// Lines about connections that ended.
    Connection,
    /// Lines about single messages.
    Message,
    /// Lines about delivered attempts and other events that are expected for each message.
    Delivery,
}

impl LineKind {
    fn of(metadata: &Metadata<'_>) -> LineKind {
        if *metadata.level() == Level::DEBUG {
            LineKind::Message
        } else if *metadata.level() == Level::TRACE {
            LineKind::Delivery
        } else if metadata.target() == CONNECTION_TARGET {
            LineKind::Connection
        } else {
            LineKind::Instance
        }
    }

    /// Maximum number of lines of the kind that an instance may write in a second.
    fn max_lines_per_second(self) -> u32 {
        match self {
            LineKind::Instance | LineKind::Connection => 50,
            LineKind::Message => 20,
            LineKind::Delivery => 10,
        }
    }
}

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
    /// Windows of the instance by [`LineKind`]. They are thread-local, as each instance has its own thread.
    static WINDOWS: Cell<[LineWindow; 4]> = const { Cell::new([LineWindow::EMPTY; 4]) };
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

/// Counts a line of a kind. Returns whether it may be written.
fn admit(kind: LineKind, now: Instant) -> bool {
    let mut windows = WINDOWS.get();
    let is_admitted = windows[kind as usize].admit(now, kind.max_lines_per_second());
    WINDOWS.set(windows);
    is_admitted
}

/// Returns the number of dropped lines since the last call, without those of [`LineKind::Delivery`], which are a sample.
fn take_dropped() -> u64 {
    let mut windows = WINDOWS.get();
    let counted = [LineKind::Instance, LineKind::Connection, LineKind::Message];
    let dropped = counted
        .map(|kind| std::mem::take(&mut windows[kind as usize].dropped))
        .iter()
        .sum();
    WINDOWS.set(windows);
    dropped
}

/// A filter that drops lines above the limits. Spans are not counted.
struct LineLimit;

impl<S> Filter<S> for LineLimit {
    fn enabled(&self, metadata: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        *metadata.level() <= Level::INFO || metadata.target().starts_with("marblefall")
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        admit(LineKind::of(event.metadata()), Instant::now())
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

/// Writes a line about a connection that ended, unless the limit of the current second for such lines is reached.
#[macro_export]
macro_rules! connection_line {
    ($($part:tt)*) => {
        $crate::log::tracing::info!(target: $crate::log::CONNECTION_TARGET, $($part)*)
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
