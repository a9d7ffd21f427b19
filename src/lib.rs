//! copperroute decides, for each download a dispatcher takes, which edge cache is asked, where a miss
//! is filled from, and whether the copy is kept (MC3). It does no input or output of its own: an
//! adapter calls [`policy::Dispatcher`] and hands it an [`interface::Outbox`] to answer through.

pub mod calls;
pub mod cold;
pub mod conduct;
pub mod gate;
pub mod interface;
pub mod link;
pub mod nodes;
pub mod opening;
pub mod policy;
pub mod purges;
pub mod repeat;
pub mod size;
pub mod spare;
pub mod state;
pub mod storm;
pub mod structures;
pub mod under;

/// The older path of the random numbers; new code names [`structures::random`].
pub mod chance {
    pub use crate::structures::random::Random as Chance;
}
