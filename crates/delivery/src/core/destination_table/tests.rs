//! Tests of the compact table: its content, its size and its limits.

use super::*;

#[test]
fn table_returns_what_was_added_in_few_bytes() {
    let mut table = DestinationTable::default();
    let address = |n: u32| match n % 10 {
        0 => SocketAddr::from(([0, 0, 0, 0, 0, 0, 1, n as u16], 80)),
        _ => SocketAddr::from(((0x7f00_0000 + n).to_be_bytes(), n as u16)),
    };
    fn entry(n: u32, name: &str) -> DestinationEntry<'_> {
        let id = DestinationId(u64::from(n.wrapping_mul(2_654_435_761)));
        DestinationEntry {
            name,
            id,
            encoding: (n % 3) as u16,
            rate: 2.5,
            from_list: n.is_multiple_of(2),
        }
    }
    for n in 0..10_000 {
        let (name, endpoint_name) = (format!("clinic-{n}"), format!("clinic-{n}-1"));
        let endpoint = EndpointEntry {
            name: &endpoint_name,
            address: address(n),
            weight: Some(2.0).filter(|_| n % 2 == 0),
            active: n % 7 > 0,
        };
        table
            .add(entry(n, &name), std::iter::once(endpoint))
            .unwrap();
    }
    let table = table.build();
    for n in 0..10_000 {
        let name = format!("clinic-{n}");
        let id = entry(n, &name).id;
        assert_eq!(table.entry(id), Some(entry(n, &name)));
        let listed = table.listed_endpoints(id);
        let endpoint_name = format!("clinic-{n}-1");
        assert_eq!(
            listed[0].name,
            if n % 2 == 0 {
                format!("{name}/{endpoint_name}")
            } else {
                endpoint_name
            }
        );
        assert_eq!(
            (listed.len(), &listed[0].address),
            (1, &address(n).to_string())
        );
        assert_eq!(listed[0].weight, Some(2.0).filter(|_| n % 2 == 0));
        assert_eq!(listed[0].status == EndpointStatus::Active, n % 7 > 0);
    }
    assert_eq!(table.entry(DestinationId(u64::MAX)), None);
    assert!(
        table.bytes() <= 100 * table.len(),
        "{} bytes",
        table.bytes()
    );
    let too_long = "x".repeat(70_000);
    assert_eq!(
        DestinationTable::default().add(entry(0, &too_long), std::iter::empty()),
        Err(TableError::Names)
    );
}
