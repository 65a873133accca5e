//! The ids of the message classes of an instance.

use crate::manifest::{ClassSpec, InstanceManifest};
use marblefall_scheduler::ClassId;

/// The classes of an instance in the order of their ids. A class that is removed from the manifest keeps its id until the
/// instance ends, because pending messages of the class may exist.
#[derive(Clone, Debug, Default)]
pub struct ClassTable(Vec<(String, ClassSpec)>);

impl ClassTable {
    /// Adds new classes of the manifest, and updates those that the table already contains.
    pub fn update(&mut self, manifest: &InstanceManifest) {
        for (name, class) in &manifest.classes {
            match self.0.iter_mut().find(|(known, _)| known == name) {
                Some((_, known)) => *known = class.clone(),
                None => self.0.push((name.clone(), class.clone())),
            }
        }
    }

    /// Returns the names of the classes, in the order of their ids.
    pub(super) fn names(&self) -> Vec<String> {
        self.0.iter().map(|(name, _)| name.clone()).collect()
    }

    /// Returns the classes, in the order of their ids.
    pub(super) fn classes(&self) -> impl Iterator<Item = &ClassSpec> {
        self.0.iter().map(|(_, class)| class)
    }

    /// Returns the id of the class with this name.
    pub(super) fn id(&self, name: &str) -> Option<ClassId> {
        self.0
            .iter()
            .position(|(known, _)| known == name)
            .map(ClassId)
    }
}
