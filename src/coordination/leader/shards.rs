//! Which controller holds which machines, with what part of each team's limit.
//!
//! Machines are leased in blocks of bounded size; what a controller may use of
//! the teams' limits stands in its seat, over all its blocks. A placement is
//! conditional on both records.
//!
//! Safety rests on one rule: what is taken away takes effect by a commit, and
//! only what the cache shows after that commit is given to others. Placements
//! are conditional on their seat's and block's records, so once the cache has
//! passed these records' revisions, a seat's use of a team's limit can only grow
//! up to the budget in it. At any time the sum over seats of max(budget, use),
//! plus the use on machines of no seat, stays within the limit.

mod budgets;

use std::collections::{BTreeMap, BTreeSet};

pub use budgets::Targets;

use super::routing::WantedQuota;
use crate::storage::{
    BlockId, Incarnation, MachineId, NodeName, Quota, Revision, StateCache, Team, TeamName,
    ZoneName,
    client::Transaction,
    keys,
    records::{BlockRecord, MachineUse, SeatRecord},
};

/// Machines in a block at most: about 1 KiB of a record, and few machines whose
/// token rises when one of them is marked or joins.
pub const BLOCK_SIZE: usize = 48;

/// What the plan takes into account beside the cache.
#[derive(Debug, Default)]
pub struct Hints {
    /// Blocks to be leased to another controller, which are frozen first.
    pub moving: BTreeMap<BlockId, NodeName>,
    /// Machines that stay frozen.
    pub returning: BTreeSet<MachineId>,
    /// The machines that are to be given back.
    pub marked: BTreeSet<MachineId>,
    /// Machines whose holder has lost them while this controller hears them.
    pub stranded: BTreeMap<MachineId, NodeName>,
    /// Controllers that have lately lost machines of theirs: they get no new ones
    /// as long as there are others.
    pub shunned: BTreeSet<NodeName>,
    /// Quota that a controller lacks for tasks that it has room for.
    pub short: BTreeMap<(NodeName, TeamName), Quota>,
    /// Quota that a controller is about to need beside what it uses, for tasks that
    /// begin together at several of them. Taken away, it would be lacking next, and
    /// budgets would go to and fro.
    pub kept: BTreeMap<(NodeName, TeamName), Quota>,
    /// Records that one commit may change.
    pub most: usize,
    /// Controllers transfer budgets to each other: the plan names targets in place of
    /// taking unused budget away.
    pub controllers_transfer: bool,
    /// What is free on each controller's machines.
    pub free: BTreeMap<NodeName, Quota>,
    /// Quota of tasks that are under way to controllers.
    pub under_way: BTreeMap<(NodeName, TeamName), Quota>,
    /// Tasks with room that lack quota, the most pressing first.
    pub wanted: Vec<WantedQuota>,
}

/// A pass needs at least this many changes: a machine that moves between two blocks
/// takes budget from one seat to another.
const LEAST_CHANGES: usize = 4;

struct Plan<'a> {
    cache: &'a StateCache,
    seats: BTreeMap<NodeName, SeatRecord>,
    blocks: BTreeMap<BlockId, BlockRecord>,
    alive: Vec<NodeName>,
    shunned: &'a BTreeSet<NodeName>,
    /// Blocks and seats changed in this pass, together at most `most`; what is left
    /// comes in the next. Seats come after blocks, so that a commit of five changes
    /// gets on with both.
    touched: BTreeSet<BlockId>,
    reseated: BTreeSet<NodeName>,
    most: usize,
    load: BTreeMap<NodeName, usize>,
    targets: Targets,
}

/// The records that change in one pass, all of them in one commit.
#[derive(Debug, Default)]
pub struct Changed {
    pub seats: BTreeMap<NodeName, SeatRecord>,
    pub blocks: BTreeMap<BlockId, BlockRecord>,
    /// What the controllers' budgets should be, of teams of which some lacks quota. They
    /// are told, not written.
    pub targets: Targets,
}

impl Changed {
    pub fn is_empty(&self) -> bool {
        self.seats.is_empty() && self.blocks.is_empty()
    }

    /// Whether nobody waits for it: machines change their use within their blocks, or
    /// are out of them since they are gone.
    pub fn can_wait(&self, cache: &StateCache) -> bool {
        let is_same_lease = |id: &BlockId, block: &BlockRecord| {
            cache.blocks.get(id).is_some_and(|kept| {
                let old = &kept.value;
                let has_new = block.machines.keys().any(|m| !old.machines.contains_key(m));
                let is_gone = |m: &MachineId| {
                    block.machines.contains_key(m) || !cache.machines.contains_key(m)
                };
                (&old.node, old.holder, old.frozen) == (&block.node, block.holder, block.frozen)
                    && !has_new
                    && old.machines.keys().all(is_gone)
            })
        };
        self.seats.is_empty()
            && self
                .blocks
                .iter()
                .all(|(id, block)| is_same_lease(id, block))
    }

    /// The commit that carries it out, on condition that the records are still
    /// those of the cache.
    pub fn transaction(&self, cache: &StateCache) -> Transaction {
        let mut transaction = Transaction::default();
        for (node, seat) in &self.seats {
            let mark = cache
                .seats
                .get(node)
                .map_or(Revision(0), |kept| kept.revision);
            transaction = transaction
                .require(keys::seat(node), mark)
                .set(keys::seat(node), seat);
        }
        for (id, block) in &self.blocks {
            let mark = cache
                .blocks
                .get(id)
                .map_or(Revision(0), |kept| kept.revision);
            transaction = transaction
                .require(keys::block(*id), mark)
                .set(keys::block(*id), block);
        }
        transaction
    }
}

/// What changes in this pass; empty when all is well.
pub fn plan(cache: &StateCache, teams: &[Team], hints: &Hints) -> Changed {
    // Every record must be one that the cache has fully caught up with.
    if cache
        .seats
        .values()
        .any(|kept| kept.revision > cache.revision)
        || cache
            .blocks
            .values()
            .any(|kept| kept.revision > cache.revision)
    {
        return Changed::default();
    }
    let mut load = BTreeMap::new();
    for kept in cache.blocks.values() {
        *load.entry(kept.value.node.clone()).or_default() += kept.value.machines.len();
    }
    let seats = cache
        .seats
        .iter()
        .map(|(node, kept)| (node.clone(), kept.value.clone()));
    let blocks = cache
        .blocks
        .iter()
        .map(|(id, kept)| (*id, kept.value.clone()));
    let mut plan = Plan {
        cache,
        seats: seats.collect(),
        blocks: blocks.collect(),
        alive: cache.nodes.keys().cloned().collect(),
        shunned: &hints.shunned,
        touched: BTreeSet::new(),
        reseated: BTreeSet::new(),
        most: hints.most.max(LEAST_CHANGES),
        load,
        targets: Targets::default(),
    };
    plan.seat_holders();
    plan.lease_unheld();
    plan.move_blocks(hints);
    plan.rescue_stranded(hints);
    plan.set_uses(hints);
    plan.clear_gone();
    plan.assign_new();
    plan.share_budgets(teams, hints);
    plan.changed()
}

impl Plan<'_> {
    /// Whether these may be changed in this pass, all of them; they then count.
    fn touch_all(&mut self, blocks: &[BlockId], seats: &[&NodeName]) -> bool {
        let mut new = blocks.to_vec();
        new.retain(|id| !self.touched.contains(id));
        new.dedup();
        let reseated = seats.iter().filter(|node| !self.reseated.contains(**node));
        let count = self.touched.len() + self.reseated.len() + new.len() + reseated.count();
        if count > self.most {
            return false;
        }
        self.touched.extend(new);
        self.reseated
            .extend(seats.iter().map(|node| (*node).clone()));
        true
    }

    fn touch(&mut self, id: BlockId) -> bool {
        self.touch_all(&[id], &[])
    }

    fn reseat(&mut self, node: &NodeName) -> bool {
        self.touch_all(&[], &[node])
    }

    fn incarnation(&self, node: &NodeName) -> Option<Incarnation> {
        Some(self.cache.nodes.get(node)?.value.incarnation)
    }

    /// Each living process holds its node's seat; a dead one holds nothing, and
    /// its budgets are void. This alone fences all placements of the old process.
    fn seat_holders(&mut self) {
        for (node, kept) in &self.cache.nodes {
            let holder = Some(kept.value.incarnation);
            let known = self.seats.get(node);
            if known.is_none_or(|seat| seat.holder != holder) && self.reseat(node) {
                self.seats.entry(node.clone()).or_default().holder = holder;
            }
        }
        let dead = self
            .seats
            .iter()
            .filter(|(node, seat)| !self.cache.nodes.contains_key(*node) && seat.holder.is_some());
        let dead: Vec<NodeName> = dead.map(|(node, _)| node.clone()).collect();
        for node in dead {
            if self.reseat(&node)
                && let Some(seat) = self.seats.get_mut(&node)
            {
                seat.holder = None;
                seat.budgets.clear();
            }
        }
    }

    /// The living controller for machines of this zone: one of the zone, else
    /// the one with the fewest machines.
    fn home(&self, zone: &ZoneName) -> Option<NodeName> {
        self.alive
            .iter()
            .filter_map(|node| {
                let near = self.cache.nodes.get(node)?.value.zone == *zone;
                let load = self.load.get(node).copied().unwrap_or(0);
                Some((self.shunned.contains(node), !near, load, node))
            })
            .min()
            .map(|(_, _, _, node)| node.clone())
    }

    fn hand_over(&mut self, id: BlockId, to: &NodeName) {
        let Some(holder) = self.incarnation(to) else {
            return;
        };
        if let Some(block) = self.blocks.get_mut(&id) {
            let count = block.machines.len();
            if let Some(load) = self.load.get_mut(&block.node) {
                *load = load.saturating_sub(count);
            }
            *self.load.entry(to.clone()).or_default() += count;
            block.node = to.clone();
            block.holder = holder;
            block.frozen = false;
        }
    }

    /// Whether machines that move to a controller raise its budgets, as they bring tasks
    /// along. It may not have read yet what came to it, and places within the budgets
    /// that it knows: only a change of its seat voids that. By the larger of budget and
    /// use alone, what it places then would be granted to others as well.
    fn raises_budgets(&self, machines: &[MachineId]) -> bool {
        !self.cache.quota_used(machines.iter()).is_empty()
    }

    /// Whether the controller's seat may be changed at all: the living process holds it.
    fn is_seated_in_plan(&self, node: &NodeName) -> bool {
        let holder = self.incarnation(node);
        let seat = self.seats.get(node);
        holder.is_some() && seat.is_some_and(|seat| seat.holder == holder)
    }

    /// Raises a controller's budgets by what is used on machines that come to it. What is
    /// used there can only shrink meanwhile: nobody places on them.
    fn raise_budgets(&mut self, to: &NodeName, machines: &[MachineId]) {
        let moved = self.cache.quota_used(machines.iter());
        if let Some(seat) = self.seats.get_mut(to) {
            for (team, used) in moved {
                let budget = seat.budgets.entry(team).or_default();
                *budget = budget.plus(&used);
            }
        }
    }

    /// Whether a block and its machines may move to a controller in this pass, with the
    /// seats that change for it; they then count.
    fn touch_move(
        &mut self,
        blocks: &[BlockId],
        from: Option<&NodeName>,
        to: &NodeName,
        machines: &[MachineId],
    ) -> bool {
        let raises = self.raises_budgets(machines);
        if raises && !self.is_seated_in_plan(to) {
            return false;
        }
        let mut seats: Vec<&NodeName> = from.into_iter().collect();
        if raises {
            seats.push(to);
        }
        self.touch_all(blocks, &seats)
    }

    fn machines_in(&self, id: BlockId) -> Vec<MachineId> {
        let block = self.blocks.get(&id);
        let machines = block.into_iter().flat_map(|block| block.machines.keys());
        machines.cloned().collect()
    }

    /// Blocks whose holder's seat is fenced, as the cache shows: a restarted
    /// process gets its node's blocks with new tokens, those of a dead one go to
    /// living controllers.
    fn lease_unheld(&mut self) {
        let unheld: Vec<(BlockId, NodeName)> = self
            .cache
            .blocks
            .iter()
            .filter(|(_, kept)| !self.cache.is_seated(&kept.value))
            .map(|(id, kept)| (*id, kept.value.node.clone()))
            .collect();
        for (id, node) in unheld {
            let seated = self
                .cache
                .seats
                .get(&node)
                .and_then(|seat| seat.value.holder);
            let own = seated.is_some() && seated == self.incarnation(&node);
            let target = if own {
                Some(node)
            } else if seated.is_none() {
                let zone = self.zone_of(id);
                zone.and_then(|zone| self.home(&zone))
                    .or_else(|| self.alive.first().cloned())
            } else {
                // Its seat passes to another process in this pass.
                None
            };
            let Some(target) = target else { continue };
            if own {
                // Its seat has kept the budgets for what is on them.
                if self.touch(id) {
                    self.hand_over(id, &target);
                }
                continue;
            }
            let machines = self.machines_in(id);
            if self.touch_move(&[id], None, &target, &machines) {
                self.raise_budgets(&target, &machines);
                self.hand_over(id, &target);
            }
        }
    }

    /// A block's machines are of one zone, as far as their holders were.
    fn zone_of(&self, id: BlockId) -> Option<ZoneName> {
        let block = self.blocks.get(&id)?;
        let machine = block
            .machines
            .keys()
            .find_map(|machine| self.cache.machines.get(machine))?;
        Some(machine.zone.clone())
    }

    /// Machines that stand in no rental have been returned. They do no harm in a
    /// block, while each change of it voids placements that are under way: they
    /// go when there are several, or when the block changes anyway.
    fn clear_gone(&mut self) {
        let mut gone: Vec<BlockId> = Vec::new();
        for (id, block) in &self.blocks {
            let known = |machine| self.cache.machines.contains_key(machine);
            let count = block.machines.keys().filter(|m| !known(*m)).count();
            let changes = self.touched.contains(id);
            if count > block.machines.len() / 4 || (count > 0 && changes) {
                gone.push(*id);
            }
        }
        for id in gone {
            if self.touch(id)
                && let Some(block) = self.blocks.get_mut(&id)
            {
                block
                    .machines
                    .retain(|machine, _| self.cache.machines.contains_key(machine));
            }
        }
    }

    /// Blocks leased to another living controller: frozen first, and moved when
    /// the cache shows them so, since only then what is on them is known for good.
    fn move_blocks(&mut self, hints: &Hints) {
        for (id, kept) in &self.cache.blocks {
            let target = hints.moving.get(id).filter(|target| {
                **target != kept.value.node
                    && self.alive.contains(target)
                    && self.cache.is_seated(&kept.value)
            });
            match target {
                Some(target) if kept.value.frozen => {
                    let machines: Vec<MachineId> = kept.value.machines.keys().cloned().collect();
                    if !self.touch_move(&[*id], Some(&kept.value.node), target, &machines) {
                        continue;
                    }
                    self.move_use(&kept.value.node, &machines);
                    self.raise_budgets(target, &machines);
                    self.hand_over(*id, target);
                }
                wanted => {
                    let frozen = wanted.is_some();
                    let differs = self.blocks.get(id).is_some_and(|b| b.frozen != frozen);
                    if differs
                        && self.touch(*id)
                        && let Some(block) = self.blocks.get_mut(id)
                    {
                        block.frozen = frozen;
                    }
                }
            }
        }
    }

    /// The use leaves with machines, so must the budget for it: the old holder
    /// could use it a second time.
    fn move_use(&mut self, from: &NodeName, machines: &[MachineId]) {
        let moved = self.cache.quota_used(machines.iter());
        if let Some(seat) = self.seats.get_mut(from) {
            for (team, used) in moved {
                if let Some(budget) = seat.budgets.get_mut(&team) {
                    *budget = budget.minus(&used).at_least_zero();
                }
            }
        }
    }

    /// Single machines that their holder has lost go to the one that hears them,
    /// once the cache shows them frozen.
    fn rescue_stranded(&mut self, hints: &Hints) {
        for (machine, target) in &hints.stranded {
            let Some((id, kept)) = self.cache.block_of(machine) else {
                continue;
            };
            let frozen = kept.value.machines.get(machine) == Some(&MachineUse::Frozen);
            if !frozen
                || kept.value.node == *target
                || !self.alive.contains(target)
                || !self.cache.is_seated(&kept.value)
                || !self.cache.machines.contains_key(machine)
            {
                continue;
            }
            let Some(zone) = self.cache.machines.get(machine).map(|m| m.zone.clone()) else {
                continue;
            };
            let Some(new) = self.block_with_place(target, &zone) else {
                continue;
            };
            let moved = std::slice::from_ref(machine);
            if !self.touch_move(&[id, new], Some(&kept.value.node), target, moved) {
                continue;
            }
            self.move_use(&kept.value.node, moved);
            self.raise_budgets(target, moved);
            if let Some(block) = self.blocks.get_mut(&id) {
                block.machines.remove(machine);
            }
            self.put(new, target, machine);
        }
    }

    /// A block of this controller for one more machine of the zone; a new one if
    /// need be.
    fn block_with_place(&self, node: &NodeName, zone: &ZoneName) -> Option<BlockId> {
        let holder = self.incarnation(node)?;
        let open = self.blocks.iter().filter(|(_, block)| {
            block.node == *node
                && block.holder == holder
                && !block.frozen
                && block.machines.len() < BLOCK_SIZE
        });
        let fitting = open
            .map(|(id, block)| (*id, block.machines.len()))
            .filter(|(id, _)| self.zone_of(*id).is_none_or(|other| other == *zone));
        // One that changes in this pass anyway, else the fullest, so that few
        // machines are disturbed.
        fitting
            .max_by_key(|(id, count)| (self.touched.contains(id), *count))
            .map(|(id, _)| id)
            .or_else(|| {
                let last = self.blocks.keys().next_back();
                Some(last.map_or(BlockId(1), |id| BlockId(id.0 + 1)))
            })
    }

    fn put(&mut self, id: BlockId, node: &NodeName, machine: &MachineId) {
        let Some(holder) = self.incarnation(node) else {
            return;
        };
        let block = self.blocks.entry(id).or_insert_with(|| BlockRecord {
            node: node.clone(),
            holder,
            frozen: false,
            machines: BTreeMap::new(),
        });
        block.machines.insert(machine.clone(), MachineUse::Open);
        *self.load.entry(node.clone()).or_default() += 1;
    }

    fn assign_new(&mut self) {
        for (machine, record) in &self.cache.machines {
            if self.cache.block_of(machine).is_some() {
                continue;
            }
            let Some(home) = self.home(&record.zone) else {
                return;
            };
            let new = std::slice::from_ref(machine);
            if let Some(id) = self.block_with_place(&home, &record.zone)
                && self.touch_move(&[id], None, &home, new)
            {
                self.raise_budgets(&home, new);
                self.put(id, &home, machine);
            }
        }
    }

    /// Marks, freezes and thaws machines.
    fn set_uses(&mut self, hints: &Hints) {
        let mut changes: Vec<(BlockId, MachineId, MachineUse)> = Vec::new();
        for (id, block) in &self.blocks {
            for (machine, usage) in &block.machines {
                let stranded = hints
                    .stranded
                    .get(machine)
                    .is_some_and(|target| *target != block.node && self.alive.contains(target));
                let wanted = if stranded || hints.returning.contains(machine) {
                    MachineUse::Frozen
                } else if hints.marked.contains(machine)
                    && self.cache.on_machine.contains_key(machine)
                {
                    // One that is idle gets no more offers, which costs no change.
                    MachineUse::Marked
                } else {
                    MachineUse::Open
                };
                if wanted != *usage {
                    changes.push((*id, machine.clone(), wanted));
                }
            }
        }
        for (id, machine, wanted) in changes {
            if self.touch(id)
                && let Some(block) = self.blocks.get_mut(&id)
            {
                block.machines.insert(machine, wanted);
            }
        }
    }

    fn changed(self) -> Changed {
        let cache = self.cache;
        Changed {
            seats: self
                .seats
                .into_iter()
                .filter(|(node, seat)| cache.seats.get(node).is_none_or(|kept| kept.value != *seat))
                .collect(),
            blocks: self
                .blocks
                .into_iter()
                .filter(|(id, block)| cache.blocks.get(id).is_none_or(|kept| kept.value != *block))
                .collect(),
            targets: self.targets,
        }
    }
}

#[cfg(test)]
mod tests;
