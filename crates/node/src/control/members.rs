//! Reconciles the members of the log with the configured ones, one change at a time.

use super::Control;
use bn_query::Table;

impl Control {
    /// Makes the next change towards the desired members, if one is needed. A member that restarted
    /// with an empty data directory is removed and joins again as a learner: as the old voter it
    /// could lose entries that it had acknowledged.
    pub(super) fn reconcile_members(&mut self) {
        let desired = &self.state.members;
        if desired.is_empty() {
            return;
        }
        let members = self.replica.members();
        let identity_changed = self
            .replica
            .member_statuses()
            .into_iter()
            .find(|s| !s.identity_matches);
        let differs = |id: &String| {
            let now = members.get(id).map(|m| m.address.clone());
            desired.get(id).map(ToString::to_string) != now
        };
        let outdated = identity_changed
            .map(|s| s.id)
            .or_else(|| members.keys().find(|id| differs(id)).cloned());
        if let Some(id) = outdated {
            if self.replica.remove(&id).is_ok() {
                self.common.events.note("member", format!("removing {id}"));
            }
            return;
        }
        let missing = desired.iter().find(|(id, _)| !members.contains_key(*id));
        if let Some((id, inbox)) = missing.map(|(id, inbox)| (id.clone(), inbox.to_string()))
            && self.replica.add_learner(&id, &inbox).is_ok()
        {
            self.common
                .events
                .note("member", format!("adding {id} as a learner"));
        }
    }

    pub(super) fn members_table(&self) -> Table {
        let mut t = Table::new(&["member", "inbox", "state", "synced", "behind", "leader"]);
        let last = self.replica.last_index();
        let committed = self.replica.members_committed();
        for status in self.replica.member_statuses() {
            let (id, matched) = (status.id, status.synced);
            let Some(member) = self.replica.members().get(&id) else {
                continue;
            };
            let state = match () {
                () if !status.identity_matches => "emptied",
                () if status.silent => "silent",
                () if !member.voter => "learner",
                () if committed => "voter",
                () => "joining",
            };
            t.rows.push(vec![
                id.clone().into(),
                member.address.clone().into(),
                state.into(),
                (matched as f64).into(),
                (last.saturating_sub(matched) as f64).into(),
                (id == *self.replica.id()).into(),
            ]);
        }
        t
    }
}
