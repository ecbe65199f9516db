//! Writes the settings files of the programs.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use super::OPERATOR_KEY;
use super::Rig;
use super::configure::key_hash;

impl Rig {
    pub(super) fn write_control_settings(&self, i: usize) -> io::Result<PathBuf> {
        let peers: Vec<SocketAddr> = (0..self.size.controls)
            .filter(|j| *j != i)
            .map(|j| self.control(j))
            .collect();
        let text = format!(
            "vm = \"vm-{i}\"\nzone = \"zone-{}\"\norganisation = \"prove\"\n\
             listen = \"{}\"\nmetrics = \"{}\"\nplatform = \"{}\"\npeers = {}\n\
             [operators]\nprove = \"{}\"\n[usage]\nflush_ms = 1000\n",
            i % 3,
            self.control(i),
            self.control_metrics(i),
            self.platform(),
            address_list(&peers),
            key_hash(OPERATOR_KEY),
        );
        self.write(&format!("control-{i}.toml"), &text)
    }

    pub(super) fn write_entry_settings(&self, i: usize) -> io::Result<PathBuf> {
        let own = i % self.size.controls;
        let mut controls = vec![self.control(own)];
        controls.extend(
            (0..self.size.controls)
                .filter(|j| *j != own)
                .map(|j| self.control(j)),
        );
        let text = format!(
            "vm = \"vm-{own}\"\nzone = \"zone-{}\"\norganisation = \"prove\"\n\
             listen = \"{}\"\ninternal = \"{}\"\nmetrics = \"{}\"\ncontrols = {}\n",
            own % 3,
            self.entry(i),
            self.entry_internal(i),
            self.entry_metrics(i),
            address_list(&controls),
        );
        self.write(&format!("entry-{i}.toml"), &text)
    }

    fn write(&self, name: &str, text: &str) -> io::Result<PathBuf> {
        let file = self.folder().join(name);
        std::fs::write(&file, text)?;
        Ok(file)
    }
}

fn address_list(all: &[SocketAddr]) -> String {
    let quoted: Vec<_> = all.iter().map(|a| format!("\"{a}\"")).collect();
    format!("[{}]", quoted.join(", "))
}
