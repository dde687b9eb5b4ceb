import json
import os

import pytest

from hollyring.node import logs


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_all(reader):
    os.set_blocking(reader, False)
    data = b""
    while True:
        try:
            part = os.read(reader, 65536)
        except BlockingIOError:
            return data
        data += part


def test_stalled_reader_never_blocks_the_writer_and_the_buffer_is_bounded(pipe):
    reader, writer = pipe
    output = logs._NonBlockingStdout(writer)
    for number in range(100_000):
        output({"number": number, "text": "x" * 100})
    assert output._buffered_bytes <= logs.MAX_BUFFERED_BYTES
    assert output._dropped_lines > 0


def test_number_of_dropped_lines_is_written_once_the_reader_resumes(pipe):
    reader, writer = pipe
    output = logs._NonBlockingStdout(writer)
    for number in range(30_000):
        output({"number": number, "text": "x" * 100})
    dropped = output._dropped_lines
    data = b""
    for _ in range(60):
        data += read_all(reader)
        output._flush()
    output({"number": -1})
    data += read_all(reader)
    lines = [json.loads(line) for line in data.splitlines()]
    assert {"dropped_lines": dropped} in lines
    assert lines[-1] == {"number": -1}
    numbers = [line["number"] for line in lines if line.get("number", -1) >= 0]
    assert numbers == list(range(len(numbers)))
