//! Keeping the log's group at what operators want, one change at a time.

use super::Control;
use bn_query::Table;

impl Control {
    /// Makes the next change towards the wanted members, if one is due. A member
    /// that came back with an empty folder is removed and joins anew as a learner:
    /// as the old voter it could forget what it had acknowledged.
    pub(super) fn reconcile_members(&mut self) {
        let wanted = &self.state.members;
        if wanted.is_empty() {
            return;
        }
        let members = self.quorum.members();
        let emptied = self
            .quorum
            .member_statuses()
            .into_iter()
            .find(|s| !s.identity_matches);
        let moved = |id: &String| {
            let now = members.get(id).map(|m| m.address.clone());
            wanted.get(id).map(ToString::to_string) != now
        };
        let away = emptied
            .map(|s| s.id)
            .or_else(|| members.keys().find(|id| moved(id)).cloned());
        if let Some(id) = away {
            if self.quorum.remove(&id).is_ok() {
                self.common.events.note("member", format!("removing {id}"));
            }
            return;
        }
        let fresh = wanted.iter().find(|(id, _)| !members.contains_key(*id));
        if let Some((id, inbox)) = fresh.map(|(id, inbox)| (id.clone(), inbox.to_string()))
            && self.quorum.add_learner(&id, &inbox).is_ok()
        {
            self.common
                .events
                .note("member", format!("adding {id} as a learner"));
        }
    }

    pub(super) fn members_table(&self) -> Table {
        let mut t = Table::new(&["member", "inbox", "state", "synced", "behind", "leader"]);
        let last = self.quorum.last_index();
        let settled = self.quorum.members_committed();
        for standing in self.quorum.member_statuses() {
            let (id, matched) = (standing.id, standing.synced);
            let Some(member) = self.quorum.members().get(&id) else {
                continue;
            };
            let state = match () {
                () if !standing.identity_matches => "emptied",
                () if standing.silent => "silent",
                () if !member.voter => "learner",
                () if settled => "voter",
                () => "joining",
            };
            t.rows.push(vec![
                id.clone().into(),
                member.address.clone().into(),
                state.into(),
                (matched as f64).into(),
                (last.saturating_sub(matched) as f64).into(),
                (id == *self.quorum.id()).into(),
            ]);
        }
        t
    }
}
