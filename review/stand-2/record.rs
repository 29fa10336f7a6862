//! The record of a run: one line for each event, with the milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    /// Writes a line; paths of this machine are left out of it.
    pub fn line(&self, text: &str) {
        let temporary = std::env::temp_dir().display().to_string();
        let exe = std::env::current_exe().unwrap_or_default();
        let root = exe.ancestors().nth(3).map(|p| p.display().to_string());
        let text = text.replace(&temporary, "TMP");
        let text = match root.filter(|r| r.len() > 1) {
            Some(root) => text.replace(&root, "REPOSITORY"),
            None => text,
        };
        let line = format!("{:6} ms  {text}\n", self.started.elapsed().as_millis());
        print!("{line}");
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}
