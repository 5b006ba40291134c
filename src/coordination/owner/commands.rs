//! Commands sent directly to workers, and probes of silent ones.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::{
    coordination::{
        node::{Node, lock},
        ports::Command,
        view::Source,
    },
    storage::{MachineId, Session, Token},
};

/// Silent machines looked at at a time.
const PROBES: usize = 48;

impl Node {
    /// Sends commands directly; the next answer to a report repeats them. A
    /// start is for the session that its placement names: executed in a later
    /// one, it would run although the placement counts as gone.
    pub(super) fn send_orders(
        self: &Arc<Self>,
        machine: MachineId,
        session: Option<Session>,
        commands: Vec<Command>,
    ) {
        let starts = session.is_some();
        let (address, session, token) = {
            let cache = self.store.cache();
            let Some((_, block)) = self.own_block_of(&cache, &machine) else {
                return;
            };
            let mut state = lock(&self.holder);
            let Some(view) = state.views.get_mut(&machine) else {
                return;
            };
            let Some(address) = view.address.clone() else {
                return;
            };
            if starts {
                view.start_sent();
            }
            let session = session.unwrap_or(view.session);
            (address, session, Token::from(block.revision))
        };
        let node = self.clone();
        tokio::spawn(async move {
            let answer = {
                // Bounds the sockets that commands take.
                let _place = node.orders_out.acquire().await;
                node.workers
                    .orders(&address, token, session, &commands)
                    .await
            };
            let now = Instant::now();
            let cache = node.store.cache();
            let mut state = lock(&node.holder);
            let Some(view) = state.views.get_mut(&machine) else {
                return;
            };
            if starts {
                view.start_answered();
            }
            match answer {
                Ok(answer) => {
                    if !answer.executed {
                        tracing::debug!(%machine, %token, "orders not executed");
                    }
                    view.take(&answer.report, Source::Direct, now);
                    node.note_results(&mut state, &cache, &machine, now);
                    drop(state);
                    drop(cache);
                    node.holder_kick.notify_one();
                }
                Err(error) => {
                    tracing::debug!(%machine, %error, "orders without an answer");
                    if starts {
                        view.started_unanswered(token, now);
                    }
                }
            }
        });
    }

    /// Duty: looks at machines that have fallen silent.
    pub(in crate::coordination) async fn probe_silent(&self) {
        while self.pause(Duration::from_millis(700)).await {
            let silent: Vec<(MachineId, Option<String>)> = {
                let cache = self.store.cache();
                let now = Instant::now();
                let mut state = lock(&self.holder);
                let after = self.config.worker_report.mul_f64(1.3);
                state
                    .views
                    .iter_mut()
                    .filter(|(_, view)| {
                        view.silent(now) > after
                            && view
                                .probed
                                .is_none_or(|at| now.duration_since(at) > Duration::from_secs(1))
                    })
                    .take(PROBES)
                    .map(|(id, view)| {
                        view.probed = Some(now);
                        let known = cache
                            .machines
                            .get(id)
                            .and_then(|record| record.address.clone());
                        (id.clone(), view.address.clone().or(known))
                    })
                    .collect()
            };
            let looks = silent.into_iter().map(|(id, address)| async move {
                // Never seen up: it is booting, and the leader minds that.
                let Some(address) = address else { return };
                let answer = self.workers.inspect(&address).await;
                let mut state = lock(&self.holder);
                let Some(view) = state.views.get_mut(&id) else {
                    return;
                };
                match answer {
                    Ok(report) => {
                        view.take(&report, Source::Direct, Instant::now());
                        view.unreachable = false;
                    }
                    Err(_) => view.unreachable = true,
                }
            });
            futures::future::join_all(looks).await;
        }
    }
}
