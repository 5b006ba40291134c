//! Which controller holds which machines, with what part of each team's limit.
//!
//! Safety rests on one rule: what is taken away takes effect by a commit, and
//! only what the book shows after that commit is given to others. Placements
//! are conditional on their block's record, so once the book has passed the
//! record's revision, the block's use of a team's limit can only grow up to the
//! budget in it. At any time the sum over blocks of max(budget, use), plus the
//! use on machines of no block, stays within the limit.

use std::collections::{BTreeMap, BTreeSet};

use crate::storage::{book::Kept, records::*, *};

/// What the plan takes into account beside the book.
#[derive(Debug, Default)]
pub struct Hints {
    /// Idle machines to be given to another controller, which are frozen first.
    pub moving: BTreeMap<MachineId, NodeName>,
    /// Machines that stay frozen.
    pub returning: BTreeSet<MachineId>,
    /// The machine that is to be given back.
    pub marked: Option<MachineId>,
    /// Machines whose holder has lost them while this controller hears them.
    pub stranded: BTreeMap<MachineId, NodeName>,
    /// Quota that a controller lacks for tasks that it has room for.
    pub short: BTreeMap<(NodeName, TeamName), Quota>,
}

/// Budgets are only moved in steps of at least this.
const STEP: f64 = 0.01;

struct Plan<'a> {
    book: &'a Book,
    blocks: BTreeMap<NodeName, BlockRecord>,
    /// Blocks that have just been changed to take something away: nothing is
    /// given on in the same pass.
    alive: Vec<NodeName>,
}

/// The blocks that change in this pass; empty when all is well.
pub fn plan(book: &Book, teams: &[Team], hints: &Hints) -> BTreeMap<NodeName, BlockRecord> {
    // Every record must be one that the book has fully caught up with.
    if book.blocks.values().any(|kept| kept.mark > book.revision) {
        return BTreeMap::new();
    }
    let mut plan = Plan {
        book,
        blocks: book
            .blocks
            .iter()
            .map(|(node, kept)| (node.clone(), kept.value.clone()))
            .collect(),
        alive: book.nodes.keys().cloned().collect(),
    };
    plan.seat_holders();
    plan.clear_gone();
    plan.adopt_orphans();
    plan.assign_new();
    plan.thaw_and_move(hints);
    plan.share_budgets(teams, hints);
    plan.changed()
}

impl Plan<'_> {
    fn kept(&self, node: &NodeName) -> Option<&Kept<BlockRecord>> {
        self.book.blocks.get(node)
    }

    /// Each living process holds its node's block; a dead one holds nothing,
    /// and its budgets are void.
    fn seat_holders(&mut self) {
        for (node, kept) in &self.book.nodes {
            let block = self.blocks.entry(node.clone()).or_default();
            if block.holder != Some(kept.value.incarnation) {
                block.holder = Some(kept.value.incarnation);
            }
        }
        for (node, block) in &mut self.blocks {
            if !self.book.nodes.contains_key(node) && block.holder.is_some() {
                block.holder = None;
                block.budgets.clear();
            }
        }
    }

    /// Machines without a record have been returned.
    fn clear_gone(&mut self) {
        for block in self.blocks.values_mut() {
            block
                .machines
                .retain(|id, _| self.book.machines.contains_key(id));
        }
    }

    /// The living controller for a machine of this zone: one of the zone, else
    /// the one with the fewest machines.
    fn home(&self, zone: &ZoneName) -> Option<NodeName> {
        self.alive
            .iter()
            .filter_map(|node| {
                let near = self.book.nodes.get(node)?.value.zone == *zone;
                let load = self.blocks.get(node)?.machines.len();
                Some((!near, load, node))
            })
            .min()
            .map(|(_, _, node)| node.clone())
    }

    /// Machines of a block that nobody holds, and that the book shows as such,
    /// go to living controllers.
    fn adopt_orphans(&mut self) {
        let orphaned: Vec<(NodeName, MachineId)> = self
            .book
            .blocks
            .iter()
            .filter(|(node, kept)| {
                kept.value.holder.is_none() && !self.book.nodes.contains_key(*node)
            })
            .flat_map(|(node, kept)| {
                kept.value
                    .machines
                    .keys()
                    .map(move |id| (node.clone(), id.clone()))
            })
            .collect();
        for (node, id) in orphaned {
            let Some(zone) = self.book.machines.get(&id).map(|m| m.value.zone.clone()) else {
                continue;
            };
            if let Some(home) = self.home(&zone) {
                let usage = self
                    .blocks
                    .get_mut(&node)
                    .and_then(|block| block.machines.remove(&id));
                if let (Some(usage), Some(block)) = (usage, self.blocks.get_mut(&home)) {
                    block.machines.insert(id, usage);
                }
            }
        }
    }

    fn assign_new(&mut self) {
        for (id, record) in &self.book.machines {
            let held = self
                .blocks
                .values()
                .any(|block| block.machines.contains_key(id));
            if !held
                && let Some(home) = self.home(&record.value.zone)
                && let Some(block) = self.blocks.get_mut(&home)
            {
                block.machines.insert(id.clone(), MachineUse::Open);
            }
        }
    }

    fn thaw_and_move(&mut self, hints: &Hints) {
        let steps: Vec<(NodeName, MachineId, MachineUse)> = self
            .book
            .blocks
            .iter()
            .flat_map(|(node, kept)| {
                kept.value
                    .machines
                    .iter()
                    .map(move |(id, usage)| (node.clone(), id.clone(), *usage))
            })
            .collect();
        for (node, id, usage) in steps {
            // Already moved in this pass, or gone.
            if !self
                .blocks
                .get(&node)
                .is_some_and(|block| block.machines.contains_key(&id))
            {
                continue;
            }
            let idle = !self.book.on_machine.contains_key(&id);
            let target = hints
                .stranded
                .get(&id)
                .or(hints.moving.get(&id))
                .filter(|target| self.alive.contains(target) && **target != node);
            let stranded = hints.stranded.contains_key(&id);
            let usage_now = match (usage, target) {
                // Frozen by a commit that the book has passed: what is on it
                // is known for good.
                (MachineUse::Frozen, Some(target)) if idle || stranded => {
                    let moved = self.book.quota_used(std::iter::once(&id));
                    if let Some(block) = self.blocks.get_mut(&node) {
                        block.machines.remove(&id);
                        // The use leaves with the machine, so must the budget
                        // for it: the old holder could use it a second time.
                        for (team, used) in moved {
                            if let Some(budget) = block.budgets.get_mut(&team) {
                                *budget = budget.minus(&used).at_least_zero();
                            }
                        }
                    }
                    if let Some(block) = self.blocks.get_mut(target) {
                        block.machines.insert(id.clone(), MachineUse::Open);
                    }
                    continue;
                }
                (MachineUse::Frozen, Some(_)) => MachineUse::Frozen,
                (_, Some(_)) => MachineUse::Frozen,
                _ if hints.returning.contains(&id) => MachineUse::Frozen,
                _ if hints.marked.as_ref() == Some(&id) => MachineUse::Marked,
                _ => MachineUse::Open,
            };
            if let Some(block) = self.blocks.get_mut(&node) {
                block.machines.insert(id, usage_now);
            }
        }
    }

    /// Grants what no block can use to those that lack it, and takes unused
    /// budget from others for the next pass.
    fn share_budgets(&mut self, teams: &[Team], hints: &Hints) {
        let mut used: BTreeMap<NodeName, BTreeMap<TeamName, Quota>> = BTreeMap::new();
        // Use counts where machines are after this pass; budgets not yet taken
        // back count as the book has them.
        for (node, block) in &self.blocks {
            used.insert(node.clone(), self.book.quota_used(block.machines.keys()));
        }
        let in_blocks: BTreeSet<&MachineId> = self
            .blocks
            .values()
            .flat_map(|block| block.machines.keys())
            .collect();
        let outside = self.book.quota_used(
            self.book
                .on_machine
                .keys()
                .filter(|id| !in_blocks.contains(id)),
        );
        let seated: Vec<NodeName> = self
            .alive
            .iter()
            .filter(|node| self.blocks.contains_key(*node))
            .cloned()
            .collect();
        if seated.is_empty() {
            return;
        }
        for team in teams {
            let use_of = |node: &NodeName| {
                used.get(node)
                    .and_then(|teams| teams.get(&team.name))
                    .copied()
                    .unwrap_or_default()
            };
            let mut bound = outside.get(&team.name).copied().unwrap_or_default();
            for node in self.blocks.keys() {
                // What the holder may still act on is the record of the book.
                let budget = self
                    .kept(node)
                    .and_then(|kept| kept.value.budgets.get(&team.name))
                    .copied()
                    .unwrap_or_default();
                bound = bound.plus(&budget.max(&use_of(node)));
            }
            let mut slack = team.limit.minus(&bound).at_least_zero();
            let lacking: Vec<(NodeName, Quota)> = seated
                .iter()
                .filter_map(|node| {
                    let short = hints.short.get(&(node.clone(), team.name.clone()))?;
                    Some((node.clone(), *short))
                })
                .collect();
            let give =
                |blocks: &mut BTreeMap<NodeName, BlockRecord>, node: &NodeName, more: Quota| {
                    if let Some(block) = blocks.get_mut(node) {
                        let budget = block.budgets.entry(team.name.clone()).or_default();
                        // Up to what it uses costs nothing: that is counted already.
                        *budget = budget.max(&use_of(node)).plus(&more);
                    }
                };
            let mut unmet = Quota::default();
            for (node, short) in &lacking {
                let part = Quota {
                    cpus: short.cpus.min(slack.cpus),
                    gpus: short.gpus.min(slack.gpus),
                };
                if part.cpus > STEP || part.gpus > STEP {
                    give(&mut self.blocks, node, part);
                    slack = slack.minus(&part);
                }
                unmet = unmet.plus(&short.minus(&part).at_least_zero());
            }
            if unmet.cpus > STEP || unmet.gpus > STEP {
                self.take_unused(team, &lacking, unmet, &use_of);
            } else if slack.cpus > STEP || slack.gpus > STEP {
                let part = slack.times(1.0 / seated.len() as f64);
                for node in &seated {
                    give(&mut self.blocks, node, part);
                }
            }
        }
    }

    fn take_unused(
        &mut self,
        team: &Team,
        lacking: &[(NodeName, Quota)],
        mut unmet: Quota,
        use_of: &dyn Fn(&NodeName) -> Quota,
    ) {
        for (node, block) in &mut self.blocks {
            if lacking.iter().any(|(name, _)| name == node) {
                continue;
            }
            let Some(budget) = block.budgets.get_mut(&team.name) else {
                continue;
            };
            let unused = budget.minus(&use_of(node)).at_least_zero();
            let part = Quota {
                cpus: unused.cpus.min(unmet.cpus),
                gpus: unused.gpus.min(unmet.gpus),
            };
            if part.cpus > STEP || part.gpus > STEP {
                *budget = budget.minus(&part);
                unmet = unmet.minus(&part);
            }
        }
    }

    fn changed(self) -> BTreeMap<NodeName, BlockRecord> {
        let book = self.book;
        self.blocks
            .into_iter()
            .filter(|(node, block)| {
                book.blocks
                    .get(node)
                    .is_none_or(|kept| kept.value != *block)
            })
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    fn team(limit: f64) -> Team {
        Team {
            name: TeamName::new("team"),
            guaranteed: Quota::default(),
            limit: Quota {
                cpus: limit,
                gpus: 0.0,
            },
        }
    }

    fn cpus(block: &BlockRecord) -> f64 {
        block.budgets.get("team").map_or(0.0, |quota| quota.cpus)
    }

    /// Two nodes; `n0` runs one task of four CPUs on vm-1.
    fn book() -> Book {
        let mut book = Book::default();
        let mut mark = 0;
        let mut set = |key: &str, value| {
            mark += 1;
            book.set(key, value, Revision(mark));
        };
        for n in 0..2 {
            set(
                &format!("node/n{n}"),
                json!({"incarnation": n + 10, "zone": format!("z{n}")}),
            );
        }
        set(
            "machine/vm-1",
            json!({"t": "x", "z": "z0", "s": false, "at": 0}),
        );
        set(
            "spec/job-1",
            json!({"class": "c", "team": "team", "kind": "Array", "priority": "Normal",
                "tasks": 3, "per_task": {"cpus": 4.0, "gpus": 0.0, "memory": 1.0},
                "image": "i", "image_gb": 1.0, "estimate": {"secs": 1, "nanos": 0},
                "checkpoint": {"secs": 0, "nanos": 0}, "save": {"secs": 0, "nanos": 0},
                "accepted_ms": 0}),
        );
        set(
            "run/job-1/0",
            json!({"p": {"0": {"a": 1, "m": "vm-1", "s": 1}}}),
        );
        book.advance(Revision(100));
        book
    }

    /// Puts a plan into the book as its commit would.
    fn carry_out(book: &mut Book, plan: &BTreeMap<NodeName, BlockRecord>) {
        let mark = Revision(book.revision.0 + 1);
        for (node, block) in plan {
            let value = serde_json::to_value(block).expect("plain data");
            book.set(&crate::storage::keys::block(node), value, mark);
        }
        book.advance(mark);
    }

    fn settle(book: &mut Book, teams: &[Team], hints: &Hints) -> usize {
        for pass in 0..10 {
            let next = plan(book, teams, hints);
            if next.is_empty() {
                return pass;
            }
            carry_out(book, &next);
            let bound: f64 = book
                .blocks
                .values()
                .map(|kept| {
                    let used = book.quota_used(kept.value.machines.keys());
                    let used = used.get("team").map_or(0.0, |quota| quota.cpus);
                    cpus(&kept.value).max(used)
                })
                .sum();
            assert!(bound <= teams[0].limit.cpus + 0.001, "pass {pass}: {bound}");
        }
        panic!("the plan does not settle");
    }

    #[test]
    fn machines_go_to_their_zone_and_limits_are_shared() {
        let mut book = book();
        settle(&mut book, &[team(24.0)], &Hints::default());
        let n0 = &book.blocks["n0"].value;
        assert!(n0.machines.contains_key("vm-1"));
        let sum: f64 = book.blocks.values().map(|kept| cpus(&kept.value)).sum();
        assert!((sum - 24.0).abs() < 0.001, "{sum}");
    }

    #[test]
    fn a_shortage_takes_two_passes_and_never_exceeds_the_limit() {
        let mut book = book();
        let teams = [team(24.0)];
        settle(&mut book, &teams, &Hints::default());
        let before = cpus(&book.blocks["n0"].value);
        let mut hints = Hints::default();
        hints.short.insert(
            (NodeName::new("n0"), TeamName::new("team")),
            Quota {
                cpus: 6.0,
                gpus: 0.0,
            },
        );
        let first = plan(&book, &teams, &hints);
        assert!(
            !first.contains_key("n0"),
            "nothing is given before it is taken"
        );
        carry_out(&mut book, &first);
        let second = plan(&book, &teams, &hints);
        carry_out(&mut book, &second);
        assert!((cpus(&book.blocks["n0"].value) - before - 6.0).abs() < 0.001);
    }

    #[test]
    fn a_dead_holders_block_is_fenced_before_it_is_given_on() {
        let mut book = book();
        let teams = [team(24.0)];
        settle(&mut book, &teams, &Hints::default());
        book.drop_key("node/n0", Revision(1000));
        book.advance(Revision(1000));
        let first = plan(&book, &teams, &Hints::default());
        assert!(first["n0"].holder.is_none());
        assert!(
            !first.contains_key("n1"),
            "not before the fence is committed"
        );
        carry_out(&mut book, &first);
        settle(&mut book, &teams, &Hints::default());
        assert!(book.blocks["n1"].value.machines.contains_key("vm-1"));
        assert!(book.blocks["n0"].value.machines.is_empty());
    }

    #[test]
    fn a_restarted_process_is_a_new_holder() {
        let mut book = book();
        let teams = [team(24.0)];
        settle(&mut book, &teams, &Hints::default());
        book.set(
            "node/n0",
            json!({"incarnation": 99, "zone": "z0"}),
            Revision(1000),
        );
        book.advance(Revision(1000));
        let next = plan(&book, &teams, &Hints::default());
        assert_eq!(next["n0"].holder, Some(Incarnation(99)));
        assert!(next["n0"].machines.contains_key("vm-1"));
    }

    #[test]
    fn nothing_is_planned_on_a_book_that_lags_behind() {
        let mut book = book();
        let teams = [team(24.0)];
        let next = plan(&book, &teams, &Hints::default());
        for (node, block) in &next {
            let value = serde_json::to_value(block).expect("plain data");
            book.set(&crate::storage::keys::block(node), value, Revision(500));
        }
        book.drop_key("node/n0", Revision(600));
        assert!(plan(&book, &teams, &Hints::default()).is_empty());
    }

    /// Guards against a quota used twice: by the task that moved with its
    /// machine, and by another in the old holder's budget for it.
    #[test]
    fn a_stranded_machine_takes_its_budget_along() {
        let mut book = book();
        let teams = [team(8.0)];
        settle(&mut book, &teams, &Hints::default());
        let mut hints = Hints::default();
        hints
            .stranded
            .insert(MachineId::new("vm-1"), NodeName::new("n1"));
        settle(&mut book, &teams, &hints);
        assert!(book.blocks["n1"].value.machines.contains_key("vm-1"));
    }

    #[test]
    fn an_idle_machine_moves_frozen_and_a_busy_one_stays() {
        let mut book = book();
        let teams = [team(24.0)];
        settle(&mut book, &teams, &Hints::default());
        let mut hints = Hints::default();
        hints
            .moving
            .insert(MachineId::new("vm-1"), NodeName::new("n1"));
        let next = plan(&book, &teams, &hints);
        assert_eq!(next["n0"].machines["vm-1"], MachineUse::Frozen);
        carry_out(&mut book, &next);
        assert!(plan(&book, &teams, &hints).is_empty(), "busy: it stays");
        book.drop_key("run/job-1/0", Revision(2000));
        book.advance(Revision(2000));
        settle(&mut book, &teams, &hints);
        assert!(book.blocks["n1"].value.machines.contains_key("vm-1"));
    }
}
