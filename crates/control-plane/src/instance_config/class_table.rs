//! The ids of message classes at an instance.

use crate::manifest::{ClassSpec, InstanceManifest};
use marblefall_scheduler::ClassId;

/// Classes in the order of their ids at an instance. A class that is removed from the manifest keeps its id, and with it its
/// pending messages, until the instance ends.
#[derive(Clone, Debug, Default)]
pub struct ClassTable(Vec<(String, ClassSpec)>);

impl ClassTable {
    /// Adds the manifest's new classes, and updates the known ones.
    pub fn update(&mut self, manifest: &InstanceManifest) {
        for (name, class) in &manifest.classes {
            match self.0.iter_mut().find(|(known, _)| known == name) {
                Some((_, known)) => *known = class.clone(),
                None => self.0.push((name.clone(), class.clone())),
            }
        }
    }

    /// The classes' names, in the order of their ids.
    pub(super) fn names(&self) -> Vec<String> {
        self.0.iter().map(|(name, _)| name.clone()).collect()
    }

    /// The classes, in the order of their ids.
    pub(super) fn classes(&self) -> impl Iterator<Item = &ClassSpec> {
        self.0.iter().map(|(_, class)| class)
    }

    /// The id of a class.
    pub(super) fn id(&self, name: &str) -> Option<ClassId> {
        self.0
            .iter()
            .position(|(known, _)| known == name)
            .map(ClassId)
    }
}
