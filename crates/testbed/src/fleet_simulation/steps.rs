//! Carries out the steps of a fault script on the simulated fleet.

use super::fault::{Scope, Step};
use super::source::Connection;
use super::world::{SimulationEvent, World};

impl World {
    pub(super) fn in_scope(&self, scope: Scope) -> Vec<u32> {
        let is_in = |number: &u32| {
            let place = self.members[*number as usize].place;
            match scope {
                Scope::Dispatcher(one) => *number == one,
                Scope::Rack(rack) => place.rack == rack,
                Scope::Zone(zone) => place.zone == zone,
            }
        };
        (0..self.case.dispatchers).filter(is_in).collect()
    }

    pub(super) fn step(&mut self, step: Step) {
        match step {
            Step::Stop(scope) => self.in_scope(scope).into_iter().for_each(|number| self.stop_member(number)),
            Step::Start(scope) => {
                self.in_scope(scope).into_iter().for_each(|number| self.start_member(number));
            }
            Step::SourceStop { source, machine } => self.stop_source(source, machine),
            Step::SourceStart { source } => self.start_source(source),
            Step::Cut { from, to, cut } => self.network.set_cut(from, to, cut),
            Step::Unreachable(regions) if regions.contains(&true) => {
                let dispatchers = &self.members[..self.case.dispatchers as usize];
                let cut = dispatchers.iter().map(|member| regions[member.place.region]).collect();
                self.measures.cut(self.now, cut);
            }
            Step::Unreachable(_) => self.measures.cut_healed(self.now),
            Step::Reset { dispatcher, stream } => {
                let member = &self.members[dispatcher as usize];
                let (incarnation, number) = (member.incarnation, member.links[stream].number);
                let connection = Connection { member: dispatcher, stream, incarnation, number };
                self.schedule(self.now, SimulationEvent::Closed(connection));
            }
            Step::Silence { dispatcher, stream } => {
                self.members[dispatcher as usize].links[stream].stalled = true;
            }
        }
    }

    pub(super) fn stop_source(&mut self, source: usize, machine: bool) {
        if source == 0 {
            self.measures.log_down(self.now);
        } else {
            self.stop_member(self.case.dispatchers + source as u32 - 1);
        }
        let followers = self.sources[source].stop(machine);
        if !machine {
            self.reset(source, followers);
        }
    }

    pub(super) fn start_source(&mut self, source: usize) {
        self.sources[source].start(source == 0);
        if source > 0 {
            return self.start_member(self.case.dispatchers + source as u32 - 1);
        }
        self.measures.log_up(self.now);
        for issued in std::mem::take(&mut self.pending_purges) {
            self.record.purge(issued, self.now);
        }
    }
}
