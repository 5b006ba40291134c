//! The images that a machine should have, judged by the tasks that ran on it.

use std::sync::Arc;

use crate::storage::ImageName;

/// An image in the machine's cache.
#[derive(Debug)]
struct CachedImage {
    name: ImageName,
    gb: f64,
}

/// A machine's cache of images, which keeps the most recently used ones.
#[derive(Debug, Default)]
pub(super) struct ImageCache {
    /// The most recently used last.
    images: Vec<CachedImage>,
    /// Their names, shared with plans.
    names: Arc<Vec<ImageName>>,
}

impl ImageCache {
    /// A task with this image runs; the cache has room for `cache_gb`.
    pub(super) fn note_use(&mut self, name: &ImageName, gb: f64, cache_gb: f64) {
        if self.images.last().is_some_and(|image| image.name == *name) {
            return;
        }
        self.images.retain(|image| image.name != *name);
        let name = name.clone();
        self.images.push(CachedImage { name, gb });
        let mut total_gb: f64 = self.images.iter().map(|image| image.gb).sum();
        while total_gb > cache_gb && self.images.len() > 1 {
            total_gb -= self.images.remove(0).gb;
        }
        let names = self.images.iter().map(|image| image.name.clone());
        self.names = Arc::new(names.collect());
    }

    /// The names of the images that are kept, the most recently used last.
    pub(super) fn names(&self) -> Arc<Vec<ImageName>> {
        self.names.clone()
    }
}
