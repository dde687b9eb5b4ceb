import anyio
import pytest

from hollyring.node import actor


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Recorder(actor.Actor):
    """Notes what it takes; a number makes it tell itself the number below."""

    def __init__(self):
        super().__init__(tick_seconds=60.0)
        self.taken = []
        self.inside = 0

    def handle(self, message):
        self.inside += 1
        assert self.inside == 1
        self.taken.append(message)
        if message:
            self.post(message - 1)
        self.inside -= 1


@pytest.mark.anyio
async def test_messages_are_taken_one_at_a_time_in_order():
    recorder = Recorder()
    async with anyio.create_task_group() as group:
        group.start_soon(recorder.run)
        recorder.post(3)
        await anyio.wait_all_tasks_blocked()
        group.cancel_scope.cancel()
    assert recorder.taken == [3, 2, 1, 0]


@pytest.mark.anyio
async def test_full_inbox_refuses():
    recorder = Recorder()
    recorder.post(1)
    with pytest.raises(actor.OverloadedError):
        for _ in range(actor.MAX_INBOX_MESSAGES + 1):
            recorder.post(0)


@pytest.mark.anyio
async def test_only_the_first_answer_counts():
    ticket = actor.PendingReply()
    ticket.set(1)
    ticket.set(2)
    assert await ticket.wait() == 1
