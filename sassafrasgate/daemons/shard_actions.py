"""Handlers that carry out the actions of shard decisions."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.registries import Registry
from sassafrasgate.shards.actions import AllowStarts
from sassafrasgate.shards.actions import AppendRecord
from sassafrasgate.shards.actions import FetchOutput
from sassafrasgate.shards.actions import LimitTask
from sassafrasgate.shards.actions import LogDecision
from sassafrasgate.shards.actions import PublishSummary
from sassafrasgate.shards.actions import ReleaseTask
from sassafrasgate.shards.actions import Reply
from sassafrasgate.shards.actions import SendToShard
from sassafrasgate.shards.actions import StartTask
from sassafrasgate.shards.actions import StepDown
from sassafrasgate.shards.actions import StopTask
from sassafrasgate.shards.actions import StoreOutput
from sassafrasgate.shards.actions import WithdrawRecords
from sassafrasgate.shards.events import StartNotSent

if TYPE_CHECKING:
    from sassafrasgate.daemons.shards import ShardTask

ActionHandler = Callable[['ShardTask', Any], Awaitable[None]]

SHARD_ACTION_HANDLERS: Registry[type[Any], ActionHandler] = Registry(
    'shard action'
)


@SHARD_ACTION_HANDLERS.register(AppendRecord)
async def _append_record(task: ShardTask, action: AppendRecord) -> None:
    task.append_record(action.record)


@SHARD_ACTION_HANDLERS.register(WithdrawRecords)
async def _withdraw_records(task: ShardTask, action: WithdrawRecords) -> None:
    task.withdraw_records(action.job_id)


@SHARD_ACTION_HANDLERS.register(Reply)
async def _reply(task: ShardTask, action: Reply) -> None:
    await task.send_reply(action.reply_to, action.message)


@SHARD_ACTION_HANDLERS.register(StartTask)
async def _start(task: ShardTask, action: StartTask) -> None:
    if not task.command_host(action.host, action):
        task.events.send_nowait(
            StartNotSent(
                action.host,
                action.task,
                'this owner is not connected to the host',
            )
        )


@SHARD_ACTION_HANDLERS.register(AllowStarts)
@SHARD_ACTION_HANDLERS.register(StopTask)
@SHARD_ACTION_HANDLERS.register(LimitTask)
@SHARD_ACTION_HANDLERS.register(ReleaseTask)
@SHARD_ACTION_HANDLERS.register(FetchOutput)
@SHARD_ACTION_HANDLERS.register(StoreOutput)
async def _command(task: ShardTask, action: Any) -> None:
    task.command_host(action.host, action)


@SHARD_ACTION_HANDLERS.register(SendToShard)
async def _send_to_shard(task: ShardTask, action: SendToShard) -> None:
    task.send_to_shard(action)


@SHARD_ACTION_HANDLERS.register(PublishSummary)
async def _publish_summary(task: ShardTask, action: PublishSummary) -> None:
    task.services.publish(action.summary)


@SHARD_ACTION_HANDLERS.register(LogDecision)
async def _log_decision(task: ShardTask, action: LogDecision) -> None:
    task.log(action)


@SHARD_ACTION_HANDLERS.register(StepDown)
async def _step_down(task: ShardTask, action: StepDown) -> None:
    task.step_down(action.reason)
