//! The state that operators' calls change: whether clients are drained, and which endpoints are disabled.
//!
//! The disabled endpoints are stored in the state folder, so they are disabled in the next incarnation from its start.

use crate::core::engine::EngineEvent;
use crate::hot_restart::driver::HotRestartInstance;
use crate::log_line;
use crate::net::admin::{AdminCall, AdminHandler};
use crate::net::http::status::{NOT_FOUND, OK, SERVICE_UNAVAILABLE};
use crate::net::server::ClientConnections;
use crate::system_error::is_transient;
use async_channel::Sender;
use marblefall_atomic_file::{replace, Durability, LocalDisk};
use marblefall_scheduler::EndpointId;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Name of the file of disabled endpoints in the state folder. It has one endpoint name per line.
const DISABLED_ENDPOINTS_FILE: &str = "held-out.txt";

/// The state that operators have set on one instance.
pub struct AdminState {
    clients: Rc<ClientConnections>,
    /// Sends the disabled endpoints to the engine, which receives them before other events.
    engine: Sender<EngineEvent>,
    folder: PathBuf,
    disabled: RefCell<BTreeSet<String>>,
    /// Names of the listed endpoints.
    listed: RefCell<BTreeMap<EndpointId, String>>,
    /// Whether the engine is active. Before that, the endpoints are unknown; after that, another process decides.
    is_active: Cell<bool>,
}

/// An operator's change of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndpointSwitch {
    Disable,
    Enable,
}

impl AdminState {
    /// Creates the initial state of an instance with a state folder. The endpoints that are disabled in the folder are
    /// set by [`AdminState::set_disabled`] once the engine is active, as another incarnation may change them until then.
    pub fn new(
        clients: Rc<ClientConnections>,
        engine: Sender<EngineEvent>,
        folder: &Path,
    ) -> AdminState {
        AdminState {
            clients,
            engine,
            folder: folder.to_owned(),
            disabled: RefCell::default(),
            listed: RefCell::default(),
            is_active: Cell::default(),
        }
    }

    /// Sets the endpoints that are disabled in the state folder, and sends them to the engine.
    pub fn set_disabled(&self, disabled: BTreeSet<String>) {
        self.disabled.replace(disabled);
        self.send_disabled();
    }

    fn send_disabled(&self) {
        let disabled = self.disabled.borrow().clone();
        // Fails only once the engine has ended.
        let _ = self
            .engine
            .try_send(EngineEvent::EndpointsDisabled(disabled));
    }

    /// Records that an endpoint is listed.
    pub fn endpoint_listed(&self, id: EndpointId, name: &str) {
        self.listed.borrow_mut().insert(id, name.to_owned());
    }

    /// Records that an endpoint was removed from the list.
    pub fn endpoint_removed(&self, id: EndpointId) {
        self.listed.borrow_mut().remove(&id);
    }

    /// Records that the engine is active from now on.
    pub fn activate(&self) {
        self.is_active.set(true);
    }

    /// Records that another process decides from now on.
    pub fn deactivate(&self) {
        self.is_active.set(false);
    }

    /// Disables or enables an endpoint, and returns the HTTP status of the response.
    fn switch_endpoint(&self, name: &str, switch: EndpointSwitch) -> u16 {
        if !self.is_active.get() {
            return SERVICE_UNAVAILABLE;
        }
        let is_listed = self.listed.borrow().values().any(|listed| listed == name);
        let is_changed = match switch {
            EndpointSwitch::Disable => {
                is_listed && self.disabled.borrow_mut().insert(name.to_owned())
            }
            EndpointSwitch::Enable => self.disabled.borrow_mut().remove(name),
        };
        if !is_changed {
            return if is_listed { OK } else { NOT_FOUND };
        }
        if let Err(error) = self.write_disabled() {
            log_line!(
                code = "disabled-endpoints-not-written",
                "{}: {error}",
                self.folder.join(DISABLED_ENDPOINTS_FILE).display()
            );
            self.undo(name, switch);
            return SERVICE_UNAVAILABLE;
        }
        self.send_disabled();
        match switch {
            EndpointSwitch::Disable => {
                log_line!(code = "endpoint-disabled", "endpoint {name} disabled");
            }
            EndpointSwitch::Enable => {
                log_line!(code = "endpoint-enabled", "endpoint {name} enabled");
            }
        }
        OK
    }

    fn write_disabled(&self) -> io::Result<()> {
        let disabled = self.disabled.borrow();
        let text: String = disabled.iter().map(|name| format!("{name}\n")).collect();
        replace(
            &LocalDisk,
            &self.folder.join(DISABLED_ENDPOINTS_FILE),
            text.as_bytes(),
            Durability::ProcessDeath,
        )
    }

    /// Reverts a change that could not be written. The state in force then equals the stored one.
    fn undo(&self, name: &str, switch: EndpointSwitch) {
        let mut disabled = self.disabled.borrow_mut();
        match switch {
            EndpointSwitch::Disable => {
                disabled.remove(name);
            }
            EndpointSwitch::Enable => {
                disabled.insert(name.to_owned());
            }
        }
    }
}

/// Reads the endpoints that are disabled in a state folder. If the file cannot be read because of a permanent error, no
/// endpoint is disabled.
///
/// # Errors
/// The file cannot be read because of a transient error.
pub(super) fn read_disabled(folder: &Path) -> io::Result<BTreeSet<String>> {
    let path = folder.join(DISABLED_ENDPOINTS_FILE);
    match std::fs::read_to_string(&path) {
        Ok(text) => Ok(text
            .lines()
            .map(str::trim)
            .filter(|name| !name.is_empty())
            .map(String::from)
            .collect()),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(BTreeSet::new()),
        Err(error) if is_transient(&error) => Err(error),
        Err(error) => {
            log_line!(
                code = "disabled-endpoints-unreadable",
                "{}: {error}; no endpoint is disabled",
                path.display()
            );
            Ok(BTreeSet::new())
        }
    }
}

impl HotRestartInstance for AdminState {
    fn load_operator_state(&self) -> io::Result<()> {
        self.set_disabled(read_disabled(&self.folder)?);
        Ok(())
    }

    fn is_active(&self) -> bool {
        self.is_active.get()
    }

    fn is_shutting_down(&self) -> bool {
        self.clients.clients_notified_at().is_some()
    }
}

impl AdminHandler for AdminState {
    fn handle(&self, call: AdminCall<'_>) -> u16 {
        match call {
            // Clients are already served, as the operators' listener is opened after theirs.
            AdminCall::Ready if self.clients.is_draining() => SERVICE_UNAVAILABLE,
            AdminCall::Ready => OK,
            AdminCall::Disable(name) => self.switch_endpoint(name, EndpointSwitch::Disable),
            AdminCall::Enable(name) => self.switch_endpoint(name, EndpointSwitch::Enable),
            AdminCall::Drain => {
                self.clients.drain();
                log_line!(code = "drained", "clients are drained");
                OK
            }
            AdminCall::Undrain => {
                self.clients.undrain();
                log_line!(code = "undrained", "clients are accepted again");
                OK
            }
        }
    }
}
