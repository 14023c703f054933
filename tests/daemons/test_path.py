"""Tests the path of a job from a caller through both processes to a worker."""

from json import dumps


def make_job(key, run_ms=50, **fields):
    payload = dumps({'run_ms': run_ms, 'output': f'output of {key}'})
    return {'team': 'orders', 'key': key, 'payload': payload, **fields}


def test_each_job_returns_its_own_output(start_cell):
    # Guards against replies that are matched to the wrong request.
    cell = start_cell()
    client = cell.processes.client
    jobs = {}
    for number in range(12):
        key = f'k{number}'
        response = cell.submit(f'frontend-{number % 2}', **make_job(key))
        assert response.status_code == 202, response.text
        jobs[key] = response.json()['job_id']
    # The outputs are read through one front end, in reverse order.
    for key, job_id in reversed(jobs.items()):
        url = f'{cell.find_url("frontend-1")}/v1/jobs/{job_id}'
        view = client.get(url, params={'wait': 10}).json()
        assert view.get('state') == 'finished', view
        assert client.get(f'{url}/output').text == f'output of {key}'


def test_job_submitted_through_two_front_ends_runs_once(start_cell):
    cell = start_cell()
    job = make_job('same', idempotent=False)
    first = cell.submit('frontend-0', **job)
    second = cell.submit('frontend-1', **job)
    assert (first.status_code, second.status_code) == (202, 200)
    job_id = first.json()['job_id']
    assert second.json()['job_id'] == job_id
    url = f'{cell.find_url()}/v1/jobs/{job_id}'
    cell.processes.client.get(url, params={'wait': 10})
    tasks = [
        task.task
        for worker in cell.workers.values()
        for task in worker.read_record().tasks
    ]
    assert tasks == [f'{job_id}.0.1']


def test_quick_request_returns_the_output_of_its_task(start_cell):
    cell = start_cell(frontends=1)
    response = cell.processes.client.post(
        f'{cell.find_url()}/v1/requests',
        json=make_job('preview', run_ms=10, deadline_s=5),
    )
    assert response.status_code == 200, response.text
    assert response.text == 'output of preview'


def test_large_output_is_returned_completely(start_cell):
    cell = start_cell(frontends=1)
    size = 1_500_000
    payload = dumps({'run_ms': 10, 'output_bytes': size})
    response = cell.submit(team='orders', key='volume', payload=payload)
    url = f'{cell.find_url()}/v1/jobs/{response.json()["job_id"]}'
    view = cell.processes.client.get(url, params={'wait': 20}).json()
    assert view.get('state') == 'finished', view
    assert len(cell.processes.client.get(f'{url}/output').content) == size


def test_command_line_submits_what_the_front_end_accepts(start_cell, tmp_path):
    # Guards against different names for a job's fields in the command line
    # and in the front end.
    cell = start_cell(frontends=1)
    job = tmp_path / 'job.yaml'
    job.write_text(
        'team: orders\nkey: a1\njob_class: batch\n'
        'demand: {cores: 1, memory: 128MiB}\npayload: text\n'
    )
    program = cell.processes.start_program(
        'submit', 'submit', str(job), '--url', cell.find_url()
    )
    program.wait_for_log('is accepted')
    client = cell.processes.client
    listed = client.get(f'{cell.find_url()}/v1/jobs').json()['jobs']
    assert [entry['team'] for entry in listed] == ['orders']
