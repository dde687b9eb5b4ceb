import anyio
import pytest

from hollyring.node import actor


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Recorder(actor.Actor):
    """Records messages; for each positive number it posts the next lower one to itself."""

    def __init__(self):
        super().__init__(tick_seconds=60.0)
        self.handled = []
        self.active = 0

    def handle(self, message):
        self.active += 1
        assert self.active == 1
        self.handled.append(message)
        if message:
            self.post(message - 1)
        self.active -= 1


@pytest.mark.anyio
async def test_message_posted_by_a_handler_is_not_handled_reentrantly():
    recorder = Recorder()
    async with anyio.create_task_group() as group:
        group.start_soon(recorder.run)
        recorder.post(3)
        await anyio.wait_all_tasks_blocked()
        group.cancel_scope.cancel()
    assert recorder.handled == [3, 2, 1, 0]


@pytest.mark.anyio
async def test_full_inbox_raises_overloaded_error():
    recorder = Recorder()
    recorder.post(1)
    with pytest.raises(actor.OverloadedError):
        for _ in range(actor.MAX_INBOX_MESSAGES + 1):
            recorder.post(0)


@pytest.mark.anyio
async def test_second_reply_does_not_replace_the_first():
    reply = actor.PendingReply()
    reply.set(1)
    reply.set(2)
    assert await reply.wait() == 1
