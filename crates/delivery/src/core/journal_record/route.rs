//! The states of routes and their backoffs, which an incarnation journals for its successor.

use super::codec::{Decoder, Encoder};
use super::variant;
use marblefall_scheduler::{DestinationId, IdleRecord, Time};

/// A backoff that an endpoint requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackoffRecord {
    /// The destination.
    pub destination: DestinationId,
    /// The name of the endpoint.
    pub endpoint: String,
    /// When it ends, as Unix time in milliseconds.
    pub until_ms: i64,
}

/// The state of a route when an incarnation handed over. Its times are Unix times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRecord {
    /// The destination.
    pub destination: DestinationId,
    /// The name of the endpoint, where it is a separate route.
    pub endpoint: Option<String>,
    /// The state.
    pub state: IdleRecord,
}

/// Encodes a backoff.
pub(super) fn encode_backoff(encoder: &mut Encoder, backoff: &BackoffRecord) {
    encoder
        .byte(variant::BACKOFF)
        .number(backoff.destination.0 as i64);
    encoder
        .bytes(backoff.endpoint.as_bytes())
        .number(backoff.until_ms);
}

/// Reads a backoff back.
pub(super) fn decode_backoff(decoder: &mut Decoder<'_>) -> Option<BackoffRecord> {
    Some(BackoffRecord {
        destination: DestinationId(decoder.number()? as u64),
        endpoint: decoder.text()?,
        until_ms: decoder.number()?,
    })
}

/// Encodes the state of a route.
pub(super) fn encode_route(encoder: &mut Encoder, route: &RouteRecord) {
    let state = &route.state;
    encoder
        .byte(variant::ROUTE)
        .number(route.destination.0 as i64);
    encoder.option(route.endpoint.as_ref(), |encoder, name| {
        encoder.bytes(name.as_bytes())
    });
    for at in [
        state.backoff_until,
        state.ejected_since,
        state.recovering_since,
    ] {
        encoder.option(at, |encoder, at| encoder.number(at.0));
    }
    encoder
        .option(state.mean_latency_ms, Encoder::real)
        .real(state.baseline_rate);
}

/// Reads the state of a route back.
pub(super) fn decode_route(decoder: &mut Decoder<'_>) -> Option<RouteRecord> {
    let destination = DestinationId(decoder.number()? as u64);
    let endpoint = decoder.option(Decoder::text)?;
    let mut time = || decoder.option(|decoder| decoder.number().map(Time));
    let state = IdleRecord {
        backoff_until: time()?,
        ejected_since: time()?,
        recovering_since: time()?,
        mean_latency_ms: decoder.option(Decoder::real)?,
        baseline_rate: decoder.real()?,
    };
    Some(RouteRecord {
        destination,
        endpoint,
        state,
    })
}
