//! The images that a machine is expected to have in its cache, derived from the tasks that
//! ran on it.

use std::sync::Arc;

use crate::storage::ImageName;

/// An image in the machine's cache.
#[derive(Debug)]
struct CachedImage {
    name: ImageName,
    gb: f64,
}

/// Model of a machine's image cache, which evicts the least recently used images.
#[derive(Debug, Default)]
pub(super) struct ImageCache {
    /// The cached images, the most recently used last.
    images: Vec<CachedImage>,
    /// The names of `images` in the same order, shared with the users of
    /// [`ImageCache::names`].
    names: Arc<Vec<ImageName>>,
}

impl ImageCache {
    /// Notes that a task with this image runs, and evicts images beyond the cache's size of
    /// `cache_gb`.
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

    /// The names of the cached images, the most recently used last.
    pub(super) fn names(&self) -> Arc<Vec<ImageName>> {
        self.names.clone()
    }
}
