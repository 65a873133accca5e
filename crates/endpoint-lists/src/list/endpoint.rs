//! Parses the endpoints of one destination.

use super::{Endpoint, MAX_WEIGHT};
use crate::diagnostic::Diagnostic;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use toml::Spanned;

/// Maximum length of an endpoint's name, in bytes.
const MAX_NAME_BYTES: usize = 128;
const DEFAULT_WEIGHT: f64 = 1.0;

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

/// The error for a text that is not a valid endpoint address.
struct AddressError {
    message: String,
    help: &'static str,
}

/// Parses the endpoints of a destination whose table is at `span`, and adds the errors found.
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
    parser.check_not_empty(&endpoints, span);
    parser.check_total_weight(&endpoints, span);
    endpoints
}

/// The state of parsing one destination: the names and addresses seen so far, to detect duplicates.
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

    /// Adds an error if the destination has no endpoint, unless earlier errors may be the reason for that.
    fn check_not_empty(&mut self, endpoints: &[Endpoint], span: &Range<usize>) {
        if endpoints.is_empty() && self.errors.is_empty() {
            let message = format!("{} has no endpoint", self.destination);
            let help = "list at least one endpoint, or remove the destination";
            self.error("no-endpoint", span.clone(), message, help);
        }
    }

    /// Adds an error if all endpoints have weight 0.
    fn check_total_weight(&mut self, endpoints: &[Endpoint], span: &Range<usize>) {
        if !endpoints.is_empty() && endpoints.iter().all(|endpoint| endpoint.weight == 0.0) {
            let message = format!(
                "every endpoint of {} has weight 0, so no message could be sent to it",
                self.destination
            );
            let help = "give one endpoint a weight above 0; to stop a destination, drain its endpoints and allow the loss";
            self.error("all-zero", span.clone(), message, help);
        }
    }

    /// Parses one endpoint; returns `None` if its address is invalid.
    fn parse(&mut self, raw: RawEndpoint) -> Option<Endpoint> {
        self.check_name(&raw.name);
        let weight = self.parse_weight(&raw);
        let address = self.parse_unique_address(&raw.address)?;
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
        let is_printable = name
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'/');
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !is_printable {
            let message = format!("{name:?} is not a valid endpoint name");
            let help = format!(
                "use 1 to {MAX_NAME_BYTES} printable ASCII characters other than space and /"
            );
            self.error("bad-name", span.clone(), message, help);
        }
        if !self.names.insert(name.clone()) {
            let message = format!("{} has two endpoints named {name}", self.destination);
            let help = "give each endpoint of a destination a unique name";
            self.error("same-name", span, message, help);
        }
    }

    fn parse_weight(&mut self, raw: &RawEndpoint) -> f64 {
        let span = raw
            .weight
            .as_ref()
            .map_or(raw.address.span(), Spanned::span);
        let weight = raw
            .weight
            .as_ref()
            .map_or(DEFAULT_WEIGHT, |weight| *weight.get_ref());
        if !(0.0..=MAX_WEIGHT).contains(&weight) {
            let message = format!("{weight} is not a valid weight");
            self.error(
                "bad-weight",
                span,
                message,
                format!("use a number from 0 to {MAX_WEIGHT}"),
            );
        }
        // Adding zero turns -0.0 into 0.0.
        weight + 0.0
    }

    /// Parses an address; adds an error if it is invalid or another endpoint of the destination has it.
    fn parse_unique_address(&mut self, text: &Spanned<String>) -> Option<SocketAddr> {
        let span = text.span();
        let address = match parse_address(text.get_ref()) {
            Ok(address) => address,
            Err(AddressError { message, help }) => {
                self.error("bad-address", span, message, help);
                return None;
            }
        };
        if !self.addresses.insert(address) {
            let message = format!("{} has two endpoints at {address}", self.destination);
            let help = "remove one of them, or correct its address";
            self.error("same-address", span, message, help);
        }
        Some(address)
    }
}

/// Parses the address of an endpoint. A connection to the address must be possible.
fn parse_address(text: &str) -> Result<SocketAddr, AddressError> {
    let address: SocketAddr = text.parse().map_err(|_| AddressError {
        message: format!("{text:?} is not a valid address"),
        help: "use IP:PORT, such as 10.0.0.7:8080; host names are not resolved",
    })?;
    if address.port() == 0 {
        return Err(AddressError {
            message: format!("{text} has port 0, to which no connection is possible"),
            help: "use the port on which the endpoint listens",
        });
    }
    let is_broadcast = matches!(address.ip(), IpAddr::V4(ip) if ip.is_broadcast());
    if address.ip().is_unspecified() || address.ip().is_multicast() || is_broadcast {
        return Err(AddressError {
            message: format!("{text} is not the address of a single host"),
            help: "use the address of the host itself",
        });
    }
    Ok(address)
}
