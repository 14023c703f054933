"""Tests of the control of the workers' processes."""

from tests.soak.worker_processes import WorkerProcesses
from tests.standins.worker_records import read_records
from tests.standins.worker_records import RecordFile


def test_records_of_an_earlier_run_are_removed(tmp_path):
    # Guards against violations between the runs of two soaks in one
    # directory, whose jobs have the same names.
    directory = tmp_path / 'workers'
    directory.mkdir()
    RecordFile(directory / 'w.jsonl').append('born', 1.0, worker='w')
    assert read_records(directory)

    WorkerProcesses(directory, {}, None)

    assert not read_records(directory)
