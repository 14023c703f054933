"""Handlers that carry out the actions of dispatcher decisions."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.registries import Registry
from sassafrasgate.dispatch.actions import AcknowledgeEnds
from sassafrasgate.dispatch.actions import AllowStarts
from sassafrasgate.dispatch.actions import AskAdvice
from sassafrasgate.dispatch.actions import ChangeHoldWait
from sassafrasgate.dispatch.actions import ForgetWorker
from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.actions import PaceRun
from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.actions import StopRun
from sassafrasgate.dispatch.actions import WatchWorker
from sassafrasgate.dispatch.events import RunNotSent
from sassafrasgate.shards.actions import AppendRecord
from sassafrasgate.shards.actions import Reply
from sassafrasgate.shards.actions import StepDown
from sassafrasgate.shards.actions import WithdrawRecords

if TYPE_CHECKING:
    from sassafrasgate.daemons.dispatcher import DispatcherTask

ActionHandler = Callable[['DispatcherTask', Any], Awaitable[None]]

DISPATCHER_ACTION_HANDLERS: Registry[type[Any], ActionHandler] = Registry(
    'dispatcher action'
)


@DISPATCHER_ACTION_HANDLERS.register(AppendRecord)
async def _append_record(task: DispatcherTask, action: AppendRecord) -> None:
    task.append_record(action.record)


@DISPATCHER_ACTION_HANDLERS.register(WithdrawRecords)
async def _withdraw_records(
    task: DispatcherTask, action: WithdrawRecords
) -> None:
    task.withdraw_records(action.job_id)


@DISPATCHER_ACTION_HANDLERS.register(Reply)
async def _reply(task: DispatcherTask, action: Reply) -> None:
    await task.send_reply(action.reply_to, action.message)


@DISPATCHER_ACTION_HANDLERS.register(StartRun)
async def _start(task: DispatcherTask, action: StartRun) -> None:
    if not task.command_worker(action.worker, action):
        task.events.send_nowait(
            RunNotSent(
                action.worker,
                action.run,
                'this owner is not connected to the worker',
            )
        )


@DISPATCHER_ACTION_HANDLERS.register(StopRun)
@DISPATCHER_ACTION_HANDLERS.register(PaceRun)
@DISPATCHER_ACTION_HANDLERS.register(AcknowledgeEnds)
@DISPATCHER_ACTION_HANDLERS.register(AllowStarts)
async def _command(task: DispatcherTask, action: Any) -> None:
    task.command_worker(action.worker, action)


@DISPATCHER_ACTION_HANDLERS.register(ChangeHoldWait)
async def _change_wait(task: DispatcherTask, action: ChangeHoldWait) -> None:
    task.change_hold_wait(action)


@DISPATCHER_ACTION_HANDLERS.register(WatchWorker)
async def _watch(task: DispatcherTask, action: WatchWorker) -> None:
    task.watch_worker(action)


@DISPATCHER_ACTION_HANDLERS.register(ForgetWorker)
async def _forget(task: DispatcherTask, action: ForgetWorker) -> None:
    task.forget_worker(action.worker)


@DISPATCHER_ACTION_HANDLERS.register(AskAdvice)
async def _request_advice(task: DispatcherTask, action: AskAdvice) -> None:
    task.request_advice(action)


@DISPATCHER_ACTION_HANDLERS.register(LogEvent)
async def _log(task: DispatcherTask, action: LogEvent) -> None:
    task.log(action)


@DISPATCHER_ACTION_HANDLERS.register(StepDown)
async def _step_down(task: DispatcherTask, action: StepDown) -> None:
    task.step_down(action.reason)
