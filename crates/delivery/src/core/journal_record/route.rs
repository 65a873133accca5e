//! The states and backoffs of routes, which an incarnation journals for its successor.

use super::codec::{Decoder, Encoder};
use super::variant;
use marblefall_scheduler::{DestinationId, IdleRecord, Time};

/// The record of a backoff that an endpoint requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackoffRecord {
    /// Destination of the endpoint.
    pub destination: DestinationId,
    /// Name of the endpoint.
    pub endpoint: String,
    /// End of the backoff, as Unix time in milliseconds.
    pub until_ms: i64,
}

/// The record of a route's state at a handover. Its times are Unix times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRecord {
    /// Destination of the route.
    pub destination: DestinationId,
    /// Name of the endpoint; `None` where all endpoints of the destination are one route.
    pub endpoint: Option<String>,
    /// State of the route.
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

/// Decodes a backoff.
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
        .option(state.mean_latency_ms, Encoder::float)
        .float(state.baseline_rate);
}

/// Decodes the state of a route.
pub(super) fn decode_route(decoder: &mut Decoder<'_>) -> Option<RouteRecord> {
    let destination = DestinationId(decoder.number()? as u64);
    let endpoint = decoder.option(Decoder::text)?;
    let mut time = || decoder.option(|decoder| decoder.number().map(Time));
    let state = IdleRecord {
        backoff_until: time()?,
        ejected_since: time()?,
        recovering_since: time()?,
        mean_latency_ms: decoder.option(Decoder::float)?,
        baseline_rate: decoder.float()?,
    };
    Some(RouteRecord {
        destination,
        endpoint,
        state,
    })
}
