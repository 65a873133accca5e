//! What operators' calls change: whether the instance takes clients, and which endpoints are disabled.
//!
//! The disabled endpoints last in a file in the state folder, so that the next incarnation, beside which this one may be
//! running, keeps them disabled from its start.

use crate::core::engine::EngineEvent;
use crate::hot_restart::driver::HotRestartInstance;
use crate::log_line;
use crate::net::admin::{AdminCall, AdminHandler};
use crate::net::server::ClientConnections;
use async_channel::Sender;
use marblefall_atomic_file::{replace, Durability, LocalDisk};
use marblefall_scheduler::EndpointId;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The file in the state folder: one id a line.
const FILE: &str = "held-out.txt";
const OK: u16 = 200;
const NOT_FOUND: u16 = 404;
const UNAVAILABLE: u16 = 503;

/// What operators have set on one instance.
pub struct AdminState {
    clients: Rc<ClientConnections>,
    /// Where the engine receives the disabled endpoints, ahead of other events.
    engine: Sender<EngineEvent>,
    path: PathBuf,
    disabled: RefCell<BTreeSet<String>>,
    /// The names of the endpoints that are listed now.
    listed: RefCell<BTreeMap<EndpointId, String>>,
    /// Whether the engine is active: before, the endpoints are not known, and after, another process decides.
    is_active: Cell<bool>,
}

/// What an operator wants of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndpointSwitch {
    Disable,
    Enable,
}

impl AdminState {
    /// For an instance with this state folder. What an earlier incarnation has left there is read by
    /// [`AdminState::load_disabled`] once this one is active: until then another one may still change it.
    pub fn new(
        clients: Rc<ClientConnections>,
        engine: Sender<EngineEvent>,
        folder: &Path,
    ) -> AdminState {
        AdminState {
            clients,
            engine,
            path: folder.join(FILE),
            disabled: RefCell::default(),
            listed: RefCell::default(),
            is_active: Cell::default(),
        }
    }

    /// Reads which endpoints earlier incarnations have left disabled, and tells the engine.
    pub fn load_disabled(&self) {
        let disabled = self.read_disabled().unwrap_or_else(|error| {
            log_line!(
                code = "disabled-endpoints-unreadable",
                "{}: {error}; none disabled",
                self.path.display()
            );
            BTreeSet::new()
        });
        self.disabled.replace(disabled);
        self.send_disabled();
    }

    fn read_disabled(&self) -> io::Result<BTreeSet<String>> {
        match std::fs::read_to_string(&self.path) {
            Ok(text) => Ok(text
                .lines()
                .map(str::trim)
                .filter(|id| !id.is_empty())
                .map(String::from)
                .collect()),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(BTreeSet::new()),
            Err(error) => Err(error),
        }
    }

    fn send_disabled(&self) {
        let disabled = self.disabled.borrow().clone();
        // Fails only once the engine has ended.
        let _ = self
            .engine
            .try_send(EngineEvent::EndpointsDisabled(disabled));
    }

    /// An endpoint is listed now.
    pub fn endpoint_listed(&self, id: EndpointId, name: &str) {
        self.listed.borrow_mut().insert(id, name.to_owned());
    }

    /// An endpoint is no longer listed.
    pub fn endpoint_removed(&self, id: EndpointId) {
        self.listed.borrow_mut().remove(&id);
    }

    /// The engine is active from now on.
    pub fn activate(&self) {
        self.is_active.set(true);
    }

    /// Another process decides from now on.
    pub fn deactivate(&self) {
        self.is_active.set(false);
    }

    /// Disables or enables an endpoint; returns the status to respond with.
    fn switch_endpoint(&self, name: &str, switch: EndpointSwitch) -> u16 {
        if !self.is_active.get() {
            return UNAVAILABLE;
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
                self.path.display()
            );
            self.undo(name, switch);
            return UNAVAILABLE;
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
            &self.path,
            text.as_bytes(),
            Durability::ProcessDeath,
        )
    }

    /// Undoes a change that could not be written, so that what is in force and what lasts stay the same.
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

impl HotRestartInstance for AdminState {
    fn load_operator_state(&self) {
        self.load_disabled();
    }

    fn is_active(&self) -> bool {
        self.is_active.get()
    }
}

impl AdminHandler for AdminState {
    fn handle(&self, call: AdminCall<'_>) -> u16 {
        match call {
            // Operators can call only once clients are served: their listener starts after the clients'.
            AdminCall::Ready if self.clients.is_draining() => UNAVAILABLE,
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
                log_line!(code = "undrained", "clients are taken again");
                OK
            }
        }
    }
}
