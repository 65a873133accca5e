//! Reads the endpoints of one destination.

use super::{Endpoint, MAX_WEIGHT};
use crate::diagnostic::Diagnostic;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use toml::Spanned;

/// The longest name of an endpoint, in bytes.
const MAX_NAME_BYTES: usize = 128;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawDestination {
    #[serde(default)]
    endpoints: Vec<RawEndpoint>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawEndpoint {
    name: Spanned<String>,
    address: Spanned<String>,
    weight: Option<Spanned<f64>>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    draining: bool,
}

/// Why a text names no address that a connection could come up at.
struct BadAddress {
    message: String,
    help: &'static str,
}

/// Reads the endpoints of a destination whose table stands at `span`.
pub(super) fn parse_endpoints(
    destination: &str,
    span: &Range<usize>,
    raw: RawDestination,
    errors: &mut Vec<Diagnostic>,
) -> Vec<Endpoint> {
    let mut parser = EndpointParser {
        destination,
        names: BTreeSet::new(),
        addresses: BTreeSet::new(),
        errors,
    };
    let endpoints: Vec<Endpoint> = raw
        .endpoints
        .into_iter()
        .filter_map(|endpoint| parser.parse(endpoint))
        .collect();
    if endpoints.is_empty() && errors.is_empty() {
        let message = format!("{destination} has no endpoint");
        let help = "list one at least, or take the destination out";
        errors.push(Diagnostic::error(
            "no-endpoint",
            Some(span.clone()),
            message,
            help,
        ));
    }
    if !endpoints.is_empty() && endpoints.iter().all(|endpoint| endpoint.weight == 0.0) {
        let message =
            format!("every endpoint of {destination} has weight 0: nothing could be sent there");
        let help =
            "give one a weight above 0; to stop a partner, drain its endpoints and allow the loss";
        errors.push(Diagnostic::error(
            "all-zero",
            Some(span.clone()),
            message,
            help,
        ));
    }
    endpoints
}

/// Reads the endpoints of one destination, one after the other.
struct EndpointParser<'a> {
    destination: &'a str,
    names: BTreeSet<String>,
    addresses: BTreeSet<SocketAddr>,
    errors: &'a mut Vec<Diagnostic>,
}

impl EndpointParser<'_> {
    fn error(
        &mut self,
        code: &'static str,
        span: Range<usize>,
        message: String,
        help: impl Into<String>,
    ) {
        self.errors
            .push(Diagnostic::error(code, Some(span), message, help));
    }

    /// Reads one endpoint; `None` where it has no address.
    fn parse(&mut self, raw: RawEndpoint) -> Option<Endpoint> {
        self.check_name(&raw.name);
        let weight = self.weight(&raw);
        let address = self.address(&raw.address)?;
        Some(Endpoint {
            name: raw.name.into_inner(),
            address,
            weight,
            zone: raw.zone,
            draining: raw.draining,
        })
    }

    fn check_name(&mut self, name: &Spanned<String>) {
        let (span, name) = (name.span(), name.get_ref());
        let is_readable = name
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'/');
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !is_readable {
            let message = format!("{name:?} is no name for an endpoint");
            let help = format!(
                "use 1 to {MAX_NAME_BYTES} letters, digits and signs, without spaces and /"
            );
            self.error("bad-name", span.clone(), message, help);
        }
        if !self.names.insert(name.clone()) {
            let message = format!("{} has two endpoints named {name}", self.destination);
            let help = "give each endpoint of a destination a name of its own";
            self.error("same-name", span, message, help);
        }
    }

    fn weight(&mut self, raw: &RawEndpoint) -> f64 {
        let span = raw
            .weight
            .as_ref()
            .map_or(raw.address.span(), Spanned::span);
        let weight = raw.weight.as_ref().map_or(1.0, |weight| *weight.get_ref());
        if !(0.0..=MAX_WEIGHT).contains(&weight) {
            let message = format!("{weight} is no weight");
            self.error(
                "bad-weight",
                span,
                message,
                format!("write a number from 0 to {MAX_WEIGHT}"),
            );
        }
        // Zero is zero, whatever its sign.
        weight + 0.0
    }

    fn address(&mut self, text: &Spanned<String>) -> Option<SocketAddr> {
        let span = text.span();
        let address = match parse_address(text.get_ref()) {
            Ok(address) => address,
            Err(BadAddress { message, help }) => {
                self.error("bad-address", span, message, help);
                return None;
            }
        };
        if !self.addresses.insert(address) {
            let message = format!("{} has two endpoints at {address}", self.destination);
            let help = "take one of them out, or give it its own address";
            self.error("same-address", span, message, help);
        }
        Some(address)
    }
}

/// The address that a text names, if a connection could ever come up there.
fn parse_address(text: &str) -> Result<SocketAddr, BadAddress> {
    let address: SocketAddr = text.parse().map_err(|_| BadAddress {
        message: format!("{text:?} is no address"),
        help: "write IP:PORT, such as 10.0.0.7:8080; names are not looked up",
    })?;
    if address.port() == 0 {
        return Err(BadAddress {
            message: format!("{text} has port 0, which cannot be dialled"),
            help: "write the port that it listens at",
        });
    }
    let is_broadcast = matches!(address.ip(), IpAddr::V4(ip) if ip.is_broadcast());
    if address.ip().is_unspecified() || address.ip().is_multicast() || is_broadcast {
        return Err(BadAddress {
            message: format!("{text} is no single host's address"),
            help: "write the address of the host itself",
        });
    }
    Ok(address)
}
