"""Evidence that the process which owns the shard has ended.

A refused connection is weak evidence: the port of a process that has ended
refuses connections, but so does a network cut that resets them, at both of its
ends. The evidence therefore holds for a short time, any later sign of the
process takes it back, and a host acts on it only if other hosts, which it
reaches, have lost the owner as well.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sassafrasgate.observability.clocks import now_ms

if TYPE_CHECKING:
    from sassafrasgate.daemons.leases import Member

# Several probes fall into this time, so that evidence is renewed for as long
# as connections are refused.
EVIDENCE_TTL_MS = 500
PROBE_INTERVAL_MS = 100


@dataclass(frozen=True, slots=True)
class EndEvidence:
    """Evidence that an owner's process has ended.

    Parameters
    ----------
    owner : str
        Name of the process.
    incarnation : str
        Incarnation of the process.
    revision : int
        Revision of the owner key when the process was probed.
    observed_at : int
        Steady clock in ms before the probe.
    witnesses : tuple of str
        Hosts that have lost their connection to the process as well.
    """

    owner: str
    incarnation: str
    revision: int
    observed_at: int
    witnesses: tuple[str, ...] = ()


def does_evidence_hold(
    evidence: EndEvidence,
    owner: Member,
    revision: int,
    last_sign_at: int,
    now: int,
) -> bool:
    """Return whether an owner may be replaced on some evidence of its end.

    Parameters
    ----------
    evidence : EndEvidence
        The latest evidence.
    owner : Member
        The owner that would be replaced.
    revision : int
        Revision of the owner key. A key that was written after the probe
        shows that the process has lived since.
    last_sign_at : int
        Steady clock in ms at the last sign of the process, such as a message
        or its member key.
    now : int
        Steady clock in ms. An owner key that is still there after the time
        to live of the evidence belongs to a lease that may have been
        renewed.
    """
    return (
        evidence.incarnation == owner.incarnation
        and evidence.revision == revision
        and last_sign_at < evidence.observed_at
        and now < evidence.observed_at + EVIDENCE_TTL_MS
    )


class OwnerEndRecord:
    """The latest evidence of the owner's end, and what contradicts it."""

    def __init__(self) -> None:
        self._evidence: EndEvidence | None = None
        # Steady clock in ms at the last sign, by incarnation.
        self._signs: dict[str, int] = {}
        self._probed_at = 0

    def record_end(self, evidence: EndEvidence) -> None:
        """Keep new evidence in place of older evidence."""
        self._evidence = evidence

    def record_sign(self, incarnation: str) -> None:
        """Record a sign of a process other than a message on its link."""
        now = now_ms()
        self._signs = {
            name: seen_at
            for name, seen_at in self._signs.items()
            if now < seen_at + EVIDENCE_TTL_MS
        }
        self._signs[incarnation] = now

    def begin_probe(self) -> None:
        """Record the time of a probe."""
        self._probed_at = now_ms()

    def is_probe_due(self, unconnected_ms: int) -> bool:
        """Return whether the owner is to be probed (again).

        Parameters
        ----------
        unconnected_ms : int
            How long the link to the owner has been without a connection.
        """
        return (
            unconnected_ms >= PROBE_INTERVAL_MS
            and now_ms() - self._probed_at >= PROBE_INTERVAL_MS
        )

    def has_ended(self, owner: Member, revision: int, heard_at: int) -> bool:
        """Return whether the owner may be replaced.

        Parameters
        ----------
        owner : Member
            The owner.
        revision : int
            Revision of the owner key.
        heard_at : int
            Steady clock in ms when the last message from the owner arrived.
        """
        evidence = self._evidence
        if evidence is None:
            return False
        seen_at = self._signs.get(owner.incarnation, 0)
        return does_evidence_hold(
            evidence, owner, revision, max(heard_at, seen_at), now_ms()
        )
