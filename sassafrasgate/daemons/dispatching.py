"""How a dispatcher task carries out the actions of its decisions."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.registries import Registry
from sassafrasgate.dispatch.actions import AcknowledgeEnds
from sassafrasgate.dispatch.actions import AskAdvice
from sassafrasgate.dispatch.actions import ChangeHoldWait
from sassafrasgate.dispatch.actions import ForgetWorker
from sassafrasgate.dispatch.actions import Note
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

DISPATCH_ACTIONS: Registry[type[Any], ActionHandler] = Registry(
    'dispatcher action'
)


@DISPATCH_ACTIONS.register(AppendRecord)
async def _persist(task: DispatcherTask, action: AppendRecord) -> None:
    task.append(action.record)


@DISPATCH_ACTIONS.register(WithdrawRecords)
async def _withdraw(task: DispatcherTask, action: WithdrawRecords) -> None:
    task.withdraw(action.job_id)


@DISPATCH_ACTIONS.register(Reply)
async def _reply(task: DispatcherTask, action: Reply) -> None:
    await task.send_reply(action.reply_to, action.message)


@DISPATCH_ACTIONS.register(StartRun)
async def _start(task: DispatcherTask, action: StartRun) -> None:
    if not task.command_worker(action.worker, action):
        task.events.send_nowait(
            RunNotSent(action.worker, action.run, 'the worker is gone')
        )


@DISPATCH_ACTIONS.register(StopRun)
@DISPATCH_ACTIONS.register(PaceRun)
@DISPATCH_ACTIONS.register(AcknowledgeEnds)
async def _command(task: DispatcherTask, action: Any) -> None:
    task.command_worker(action.worker, action)


@DISPATCH_ACTIONS.register(ChangeHoldWait)
async def _change_wait(task: DispatcherTask, action: ChangeHoldWait) -> None:
    task.change_hold_wait(action)


@DISPATCH_ACTIONS.register(WatchWorker)
async def _watch(task: DispatcherTask, action: WatchWorker) -> None:
    task.watch_worker(action)


@DISPATCH_ACTIONS.register(ForgetWorker)
async def _forget(task: DispatcherTask, action: ForgetWorker) -> None:
    task.forget_worker(action.worker)


@DISPATCH_ACTIONS.register(AskAdvice)
async def _ask_advice(task: DispatcherTask, action: AskAdvice) -> None:
    task.ask_advice(action)


@DISPATCH_ACTIONS.register(Note)
async def _log(task: DispatcherTask, action: Note) -> None:
    task.log(action)


@DISPATCH_ACTIONS.register(StepDown)
async def _give_up(task: DispatcherTask, action: StepDown) -> None:
    task.give_up(action.reason)
