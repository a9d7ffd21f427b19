//! Plans are read as they are written, and the preloaded library carries them out in a real process.

mod plan;
mod process;
