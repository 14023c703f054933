"""Evidence that a run is not present on its worker any more."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sassafrasgate.dispatch.entries import RunEntry
    from sassafrasgate.dispatch.entries import WorkerEntry


class EvidenceKind(StrEnum):
    """What shows that a run is gone."""

    REPORT = 'report'
    LEASE_EXPIRED = 'lease-expired'
    REFUSED = 'refused'
    NOT_SENT = 'not-sent'


@dataclass(frozen=True, slots=True)
class Evidence:
    """Evidence that a run is gone.

    Parameters
    ----------
    kind : EvidenceKind
        What shows it.
    reason : str
        The same in words, for the log.
    observed_at : int
        Owner's clock, in ms: when the report or reply arrived, or when the
        latest lease expired.
    """

    kind: EvidenceKind
    reason: str
    observed_at: int

    def describe(
        self, run: RunEntry, worker: WorkerEntry | None, now: int, epoch: int
    ) -> tuple[tuple[str, object], ...]:
        """Return the fields of a log line about a run that is gone.

        Parameters
        ----------
        run : RunEntry
            The run.
        worker : WorkerEntry or None
            Its worker, if the owner still knows it.
        now : int
            Owner's clock, in ms.
        epoch : int
            Epoch of the owner, which has granted the latest lease.
        """
        fields: tuple[tuple[str, object], ...] = (
            ('evidence', self.kind),
            ('evidence_age_ms', now - self.observed_at),
            ('start_epoch', run.epoch),
            ('start_incarnation_ms', run.incarnation_ms),
        )
        if worker is None:
            return fields
        return (
            *fields,
            ('incarnation_ms', worker.incarnation_ms),
            ('grant_epoch', epoch if worker.leases_expire_at else 0),
            ('leases_expire_in_ms', worker.leases_expire_at - now),
        )
