"""Leader election with votes and pre-votes."""

from __future__ import annotations

from apricotcart.consensus.api import Role
from apricotcart.consensus.election_timer import ElectionTimer
from apricotcart.consensus.messages import VoteReply, VoteRequest


class Elections(ElectionTimer):
    """Runs election attempts and answers vote requests."""

    def tick(self) -> bool:
        """Start an attempt if due; return whether this node is elected."""
        core = self.core
        if core.now < self.deadline or not core.is_voter:
            return False
        self.schedule_retry()
        self.back_off()
        core.leader_id = ''
        return self.start_pre_vote()

    def start_pre_vote(self) -> bool:
        """Request pre-votes; return whether this node is elected.

        Votes of an election that goes on are still counted.
        """
        self.core.role = Role.PRE_CANDIDATE
        self.pre_votes = {self.core.cfg.node_id}
        return self.request_votes(pre=True)

    def start_election(self) -> bool:
        """Request votes in the next term; return whether this node wins."""
        core = self.core
        core.save_vote(core.term + 1, core.cfg.node_id)
        core.role = Role.CANDIDATE
        self.votes = {core.cfg.node_id}
        self.schedule_retry()
        return self.request_votes(pre=False)

    def on_request(self, request: VoteRequest) -> None:
        """Reply to a vote or pre-vote request."""
        core = self.core
        if core.now < core.vote_guard_until or core.role is Role.LEADER:
            self._reply(request, granted=False)
            return
        if request.term > core.term and not request.pre:
            self.become_follower(request.term, '')
        granted = self._may_grant(request)
        if granted and not request.pre:
            core.save_vote(core.term, request.from_id)
            self.wait_after_grant()
        self._reply(request, granted=granted)

    def on_reply(self, reply: VoteReply) -> bool:
        """Count a vote; return whether this node is elected."""
        core = self.core
        if not reply.granted:
            if reply.term > core.term:
                self.become_follower(reply.term, '')
            return False
        if not self._is_expected(reply):
            return False
        votes = self.pre_votes if reply.pre else self.votes
        votes.add(reply.from_id)
        return self._has_won(pre=reply.pre)

    def request_votes(self, *, pre: bool) -> bool:
        """Send vote requests; return whether this node is elected."""
        core = self.core
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
        return self._has_won(pre=pre)

    def _has_won(self, *, pre: bool) -> bool:
        members = self.core.log.history.members
        granted = self.pre_votes if pre else self.votes
        if len(granted.intersection(members.voters)) < members.quorum:
            return False
        if pre:
            return self.start_election()
        return True

    def _is_expected(self, reply: VoteReply) -> bool:
        core = self.core
        if reply.pre:
            is_next_term = reply.term == core.term + 1
            return is_next_term and core.role is Role.PRE_CANDIDATE
        is_candidate = core.role in {Role.CANDIDATE, Role.PRE_CANDIDATE}
        is_own_term = core.vote.voted_for == core.cfg.node_id
        return is_candidate and is_own_term and reply.term == core.term

    def _may_grant(self, request: VoteRequest) -> bool:
        core = self.core
        if request.term < core.term:
            return False
        own_log_position = (core.log.last_term, core.log.last_index)
        log_position = (request.last_term, request.last_index)
        if log_position < own_log_position:
            return False
        if request.pre:
            is_rival = core.role is Role.PRE_CANDIDATE
            if is_rival and log_position == own_log_position:
                # Of two concurrent candidates, the one with the greater
                # identity wins. Otherwise they could split the votes and
                # would have to wait for a retry interval.
                if request.from_id < core.cfg.node_id:
                    return False
            return request.term > core.term
        return core.vote.voted_for in {'', request.from_id}

    def _reply(self, request: VoteRequest, *, granted: bool) -> None:
        core = self.core
        echoes_term = granted and request.pre
        core.send(
            VoteReply,
            request.from_id,
            term=request.term if echoes_term else core.term,
            granted=granted,
            pre=request.pre,
        )
