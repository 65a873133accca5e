//! Tables of many destinations, and submissions for some of them. Shared with the benchmark.

use super::START_MS;
use marblefall_delivery::core::destination_table::{
    DestinationEntry, DestinationTable, EndpointEntry,
};
use marblefall_delivery::core::engine::EngineEvent;
use marblefall_delivery::core::{Message, Origin, RequestId};
use marblefall_scheduler::{ClassId, DestinationId};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// The description of a table of destinations with one endpoint each.
#[derive(Clone, Copy)]
pub struct TableSpec {
    /// Number of destinations. Their ids are counted from zero.
    pub count: u64,
    /// Port of all endpoints.
    pub port: u16,
    /// Calls per second that each destination accepts.
    pub rate: f32,
}

/// Returns the event that replaces the table of destinations.
pub fn table_replaced(spec: TableSpec) -> EngineEvent {
    EngineEvent::DestinationTableReplaced(destination_table(spec))
}

fn destination_table(spec: TableSpec) -> Arc<DestinationTable> {
    let mut table = DestinationTable::with_large_capacity();
    for number in 0..spec.count {
        let (name, endpoint_name) = (format!("clinic-{number}"), format!("clinic-{number}-1"));
        let entry = DestinationEntry {
            name: &name,
            id: DestinationId(number),
            encoding: 0,
            rate: spec.rate,
            from_list: false,
        };
        let endpoint = EndpointEntry {
            name: &endpoint_name,
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, spec.port)),
            weight: None,
            active: true,
        };
        table.add(entry, std::iter::once(endpoint)).unwrap();
    }
    Arc::new(table.build())
}

/// Returns the submission of an event without content that expires after 20 s. `number` identifies the event and the
/// request.
pub fn event_submission(ms: i64, number: u64, destination: DestinationId) -> EngineEvent {
    let message = Message {
        origin: Origin::CloudEvents,
        identity: number.to_string().into_bytes(),
        idempotency_key: None,
        class: ClassId(0),
        destination,
        expires_ms: START_MS + ms + 20_000,
        attributes: Vec::new(),
        body: Vec::new(),
    };
    EngineEvent::Submitted(RequestId(number), message)
}
