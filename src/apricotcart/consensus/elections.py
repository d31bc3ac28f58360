"""Votes and pre-votes."""

from __future__ import annotations

from apricotcart.consensus.api import Role
from apricotcart.consensus.election_timer import ElectionTimer
from apricotcart.consensus.messages import VoteReply, VoteRequest


class Elections(ElectionTimer):
    """Decides when to stand as a candidate and whom to vote for."""

    def tick(self) -> bool:
        """Stand as a candidate when it is due; True if that elects it."""
        core = self.core
        if core.now < self.deadline or not core.is_voter:
            return False
        self.retry_later()
        core.leader_id = ''
        return self.campaign()

    def campaign(self) -> bool:
        """Ask whether a majority would vote for this node."""
        self.core.role = Role.PRE_CANDIDATE
        return self.ask(pre=True)

    def stand(self) -> bool:
        """Take the next term and ask for votes; True if that elects it."""
        core = self.core
        core.save_vote(core.term + 1, core.cfg.node_id)
        core.role = Role.CANDIDATE
        return self.ask(pre=False)

    def on_request(self, request: VoteRequest) -> None:
        """Answer a request for a vote or for a pre-vote."""
        core = self.core
        if core.now < core.guard_until or core.role is Role.LEADER:
            self._reply(request, granted=False)
            return
        if request.term > core.term and not request.pre:
            self.follow(request.term, '')
        granted = self._may_grant(request)
        if granted and not request.pre:
            core.save_vote(core.term, request.from_id)
            self.wait_for_winner()
        self._reply(request, granted=granted)

    def on_reply(self, reply: VoteReply) -> bool:
        """Count a vote; True if it makes this node the leader."""
        core = self.core
        if not reply.granted:
            if reply.term > core.term:
                self.follow(reply.term, '')
            return False
        if not self._is_awaited(reply):
            return False
        self.granted.add(reply.from_id)
        return self._count(pre=reply.pre)

    def ask(self, *, pre: bool) -> bool:
        """Send the requests of one attempt."""
        core = self.core
        self.granted = {core.cfg.node_id}
        for peer in core.log.history.members.voters:
            if peer == core.cfg.node_id:
                continue
            core.send(
                VoteRequest,
                peer,
                term=core.term + int(pre),
                last_index=core.log.last_index,
                last_term=core.log.last_term,
                pre=pre,
            )
        return self._count(pre=pre)

    def _count(self, *, pre: bool) -> bool:
        members = self.core.log.history.members
        votes = self.granted.intersection(members.voters)
        if len(votes) < members.quorum:
            return False
        if pre:
            return self.stand()
        return True

    def _is_awaited(self, reply: VoteReply) -> bool:
        core = self.core
        if reply.pre:
            in_term = reply.term == core.term + 1
            return in_term and core.role is Role.PRE_CANDIDATE
        return reply.term == core.term and core.role is Role.CANDIDATE

    def _may_grant(self, request: VoteRequest) -> bool:
        core = self.core
        if request.term < core.term:
            return False
        own_position = (core.log.last_term, core.log.last_index)
        position = (request.last_term, request.last_index)
        if position < own_position:
            return False
        if request.pre:
            is_rival = core.role is Role.PRE_CANDIDATE
            if is_rival and position == own_position:
                # Of two nodes that stand at once one gives way, or both
                # would split the votes and lose a retry interval.
                if request.from_id < core.cfg.node_id:
                    return False
            return request.term > core.term
        return core.vote.voted_for in {'', request.from_id}

    def _reply(self, request: VoteRequest, *, granted: bool) -> None:
        core = self.core
        repeats_term = granted and request.pre
        core.send(
            VoteReply,
            request.from_id,
            term=request.term if repeats_term else core.term,
            granted=granted,
            pre=request.pre,
        )
