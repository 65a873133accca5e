//! Arrivals as they once were, from a CSV file: a head, then a line for each message with its time in s first.

use crate::scenario::LONGEST_S;
use marblefall_scheduler::Time;
use std::fs;
use std::path::Path;

/// A larger file is no trace that could be played.
const MOST_BYTES: u64 = 256 << 20;

/// Reads a trace: its times in their order, whatever the order of its lines.
///
/// # Errors
/// What is wrong, with file and line.
pub fn read(path: &Path) -> Result<Vec<Time>, String> {
    let fault = |error: std::io::Error| format!("{}: {error}", path.display());
    if fs::metadata(path).map_err(fault)?.len() > MOST_BYTES {
        return Err(format!(
            "{}: is over {} MB",
            path.display(),
            MOST_BYTES >> 20
        ));
    }
    parse(&fs::read_to_string(path).map_err(fault)?)
        .map_err(|why| format!("{}:{why}", path.display()))
}

/// The same from a text.
///
/// # Errors
/// The line, and what is wrong there.
pub fn parse(text: &str) -> Result<Vec<Time>, String> {
    let mut times = Vec::new();
    for (number, line) in text
        .lines()
        .enumerate()
        .skip(1)
        .filter(|(_, line)| !line.trim().is_empty())
    {
        let first = line
            .split(',')
            .next()
            .unwrap_or_default()
            .trim()
            .trim_matches('"');
        match first.parse::<f64>() {
            Ok(secs) if (0.0..LONGEST_S).contains(&secs) => {
                times.push(Time::from_ms(secs * 1000.0))
            }
            _ => {
                return Err(format!(
                    "{}: {first:?} is no time in s below {LONGEST_S}",
                    number + 1
                ))
            }
        }
    }
    if times.is_empty() {
        return Err("1: holds a head at most, and no times".to_owned());
    }
    times.sort_unstable();
    Ok(times)
}
