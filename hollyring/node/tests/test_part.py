import anyio
import pytest

from hollyring.node import part


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Recorder(part.Part):
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
            self.tell(message - 1)
        self.inside -= 1


@pytest.mark.anyio
async def test_messages_are_taken_one_at_a_time_in_order():
    recorder = Recorder()
    async with anyio.create_task_group() as group:
        group.start_soon(recorder.run)
        recorder.tell(3)
        await anyio.wait_all_tasks_blocked()
        group.cancel_scope.cancel()
    assert recorder.taken == [3, 2, 1, 0]


@pytest.mark.anyio
async def test_full_inbox_refuses():
    recorder = Recorder()
    recorder.tell(1)
    with pytest.raises(part.OverloadedError):
        for _ in range(part.INBOX_MESSAGES + 1):
            recorder.tell(0)


@pytest.mark.anyio
async def test_only_the_first_answer_counts():
    ticket = part.Ticket()
    ticket.answer(1)
    ticket.answer(2)
    assert await ticket.wait() == 1
