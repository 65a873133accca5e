//! Log lines go to standard error through one macro, as text or as JSON lines, with the reason code and what it is
//! about as fields and the instance and connection as spans. A flood is cut: each second of an instance has room
//! for so many lines, and the first one after says how many were left out.

#[doc(hidden)]
pub use tracing;

use std::cell::Cell;
use std::fmt;
use std::time::{Duration, Instant};
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::fmt::format::{Format as Layout, Full, Json, JsonFields, Writer};
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::{Layer, Registry};

const LINES_A_SECOND: u32 = 50;

thread_local! {
    /// Each instance has a thread of its own, and so a window of its own: when it began, lines written in it, and
    /// lines left out since the last one that was written.
    static WINDOW: Cell<(Option<Instant>, u32, u64)> = const { Cell::new((None, 0, 0)) };
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

/// Whether one more line has room in this second.
fn admit(now: Instant) -> bool {
    WINDOW.with(|window| {
        let (since, lines, dropped) = window.get();
        if since.is_none_or(|since| now - since >= Duration::from_secs(1)) {
            window.set((Some(now), 1, dropped));
            return true;
        }
        let room = lines < LINES_A_SECOND;
        window.set((since, lines + u32::from(room), dropped + u64::from(!room)));
        room
    })
}

/// How many lines were left out since this was last asked.
fn left_out() -> u64 {
    WINDOW.with(|window| {
        let (since, lines, dropped) = window.get();
        window.set((since, lines, 0));
        dropped
    })
}

/// Lets as many lines through as there is room for; spans cost nothing until a line stands in them.
struct FloodLimit;

impl<S> Filter<S> for FloodLimit {
    fn enabled(&self, told: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        *told.level() <= tracing::Level::INFO
    }

    fn event_enabled(&self, _: &Event<'_>, _: &Context<'_, S>) -> bool {
        admit(Instant::now())
    }
}

/// Writes before a line how many were left out.
struct Counted<F>(Layout<F>, Format);

impl<S, N, F> FormatEvent<S, N> for Counted<F>
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
        match (left_out(), self.1) {
            (0, _) => {}
            (lines, Format::Text) => writeln!(writer, "log lines left out: {lines}")?,
            (lines, Format::Json) => {
                writeln!(
                    writer,
                    r#"{{"level":"INFO","fields":{{"message":"log lines left out","lines":{lines}}}}}"#
                )?;
            }
        }
        self.0.format_event(context, writer, event)
    }
}

/// From now on, lines of the whole process go to standard error in this form. The first call counts.
pub fn start(format: Format) {
    let layout = tracing_subscriber::fmt::format()
        .with_target(false)
        .with_level(false);
    match format {
        Format::Text => {
            let layer = tracing_subscriber::fmt::layer()
                .with_writer(std::io::stderr)
                .with_ansi(false);
            let layer = layer
                .event_format(Counted::<Full>(layout, format))
                .with_filter(FloodLimit);
            let _ = tracing::subscriber::set_global_default(Registry::default().with(layer));
        }
        Format::Json => {
            let layer = tracing_subscriber::fmt::layer()
                .with_writer(std::io::stderr)
                .with_ansi(false);
            let layer = layer.fmt_fields(JsonFields::new());
            let counted = Counted::<Json>(layout.json().with_current_span(false), format);
            let layer = layer.event_format(counted).with_filter(FloodLimit);
            let _ = tracing::subscriber::set_global_default(Registry::default().with(layer));
        }
    }
}

/// Writes a line for those on call, unless too many came just now: fields such as `code = %code` first, then a
/// text as in `format!`.
#[macro_export]
macro_rules! log_line {
    ($($part:tt)*) => {
        $crate::log::tracing::info!($($part)*)
    };
}

/// The former name of [`log_line!`], for packages that still use it.
#[macro_export]
macro_rules! say {
    ($($part:tt)*) => {
        $crate::log_line!($($part)*)
    };
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_is_cut_and_counted_until_the_next_second() {
        let start = Instant::now();
        let admitted = (0..80).filter(|_| admit(start)).count();
        assert_eq!(admitted, LINES_A_SECOND as usize);
        assert!(admit(start + Duration::from_secs(1)));
        assert_eq!((left_out(), left_out()), (30, 0));
    }
}
